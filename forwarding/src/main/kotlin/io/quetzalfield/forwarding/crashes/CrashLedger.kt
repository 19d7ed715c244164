package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * Decides which requests are refused because they make the endpoints end that answer them.
 *
 * Load pattern: requests that share a part of their prompts each make the endpoint end that begins to answer them. They
 * come at any instance, no two alike, beside many sound requests that share their other parts, and each endpoint that
 * ends takes with it whatever it runs. The evidence of all instances counts together: the requests that an endpoint had
 * just begun to answer when it was lost, and the parts with which requests were answered since. What an instance has
 * found is told to the others with the endpoints that it rests on, so that it can be withdrawn everywhere.
 *
 * Used by one thread, such as an event loop.
 *
 * @param trialRank place of this instance among those that may try a refused part again, 0 for the first.
 */
internal class CrashLedger(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val rules: CrashRules = CrashRules(),
    private val listener: CrashListener = NoListener,
    private val trialRank: (CrashSuspect) -> Int = { 0 },
) {
    private val losses = LossRecords(rules)
    private val answers = PartAnswers()
    private val answeredRequests = RecentMap<RequestFingerprint, ComparableTimeMark>(PartAnswers.MAXIMUM_ANSWERED)
    private val blames = LinkedHashMap<CrashSuspect, Blame>()

    /** Endpoints because of which a suspect is not blamed any more. */
    private val cleared = RecentMap<CrashSuspect, Set<RunnerId>>(MAXIMUM_BLAMES)
    private val clearedByThis = RecentMap<CrashSuspect, ComparableTimeMark>(MAXIMUM_BLAMES)
    private val qualifiedSince = HashMap<String, ComparableTimeMark>()

    /** The part that is decided on next, as soon as answers had time to clear it. */
    private var settlingPart: String? = null
    private val attribution = PartAttribution(rules, answers::answeredAt)
    private val outbox = CrashOutbox(timeSource)

    /** Whether nothing is recorded that could concern a request. */
    val isEmpty: Boolean get() = losses.all.isEmpty() && blames.isEmpty()

    /** Whether [takeNews] would return any. */
    val hasNews: Boolean get() = outbox.hasNews

    /** Number of suspects whose requests are refused. */
    val blamedCount: Int get() = blames.size

    /** Whether evidence has been added since the last [decide]. */
    private var isDecisionDue = false

    /** Time until [decide] may find more, without more evidence; `null` for never. */
    val timeUntilDecision: Duration?
        get() = when {
            isDecisionDue -> Duration.ZERO
            else -> settlingPart?.let(::timeUntilSettled)
        }

    /** Whether [endpoint] is recorded as lost and its loss is not confirmed yet. */
    fun isUnconfirmed(endpoint: RunnerId): Boolean = losses.newest(endpoint)?.isOpen == true

    /** Number of different requests that the newest loss of [endpoint] concerns. */
    fun lostRequests(endpoint: RunnerId): Int = losses.newest(endpoint)?.all?.size ?: 0

    /** Records that the connection for [candidate] to [endpoint] was lost. */
    fun recordLoss(endpoint: RunnerId, candidate: CrashCandidate) {
        val loss = losses.add(endpoint, timeSource.markNow())
        if (loss.add(candidate)) {
            outbox.addLoss(loss, candidate)
            isDecisionDue = isDecisionDue || loss.isConfirmed
        }
        offerAnswers(candidate.parts)
    }

    /**
     * Records that [endpoint] has ended after its loss. [isCertain] if its entry shows that, so that nothing
     * contradicts it. The others are told if [isTold].
     */
    fun confirm(endpoint: RunnerId, isCertain: Boolean = false, isTold: Boolean = true) {
        val loss = losses.newest(endpoint) ?: return
        if (!loss.confirm(isCertain)) return
        if (isTold) outbox.addJudgement(loss)
        isDecisionDue = true
    }

    /**
     * Records that [endpoint] has answered a request that was sent, or taken a connection that was opened, at [since].
     * What it lost before that does not count. Returns whether that changes anything.
     */
    fun recordAlive(endpoint: RunnerId, since: ComparableTimeMark): Boolean {
        val refuted = losses.all.filter { it.endpoint == endpoint && since - it.at >= rules.reportDelay }
            .filter { it.refute(since) }
        refuted.forEach(outbox::addJudgement)
        if (refuted.isNotEmpty()) withdrawRefuted(endpoint)
        return refuted.isNotEmpty()
    }

    /** Clears what is refused because of [endpoint] if too few others remain. */
    private fun withdrawRefuted(endpoint: RunnerId) {
        for ((suspect, blame) in blames.entries.toList()) {
            if (!blame.endpoints.remove(endpoint)) continue
            cleared[suspect] = cleared[suspect].orEmpty() + endpoint
            val needed = if (suspect.isPart) rules.partCrashes else rules.requestCrashes
            if (blame.endpoints.size < needed) clear(suspect, "endpoints live on")
        }
        isDecisionDue = true
    }

    /** Records that an endpoint began at [startedAt] to answer a request with [parts] and did not end by it. */
    fun recordAnswer(parts: List<String>, startedAt: ComparableTimeMark) {
        for (part in parts) learnAnswer(part, startedAt)
        if (!isEmpty) offerAnswers(parts)
    }

    /** Records that an endpoint answered [request]. */
    fun recordAnswer(request: RequestFingerprint) {
        answeredRequests[request] = timeSource.markNow()
        val suspect = CrashSuspect.ofRequest(request)
        if (suspect in blames) clear(suspect, "answered")
    }

    /** Whether a request with [parts] may be sent; [request] returns its fingerprint. */
    fun admission(parts: List<String>, request: () -> RequestFingerprint): CrashAdmission {
        if (isEmpty) return CrashAdmission.Allowed
        val suspects = parts.map(CrashSuspect::ofPart).filter(blames::containsKey)
        if (suspects.isNotEmpty()) return admissionOf(suspects)
        val fingerprint = request()
        val suspect = CrashSuspect.ofRequest(fingerprint)
        if (suspect in blames) return admissionOf(listOf(suspect))
        val evidence = lossesOf(fingerprint)
        if (evidence.sumOf { it.requestWeight(fingerprint) } < requestThreshold) return CrashAdmission.Allowed
        // Until it is known whether the endpoints ended, the request waits, and nothing is told or kept.
        val confirmed = evidence.filter(EndpointLoss::isConfirmed)
        val isConfirmed = confirmed.sumOf { it.requestWeight(fingerprint) } >= requestThreshold
        if (isConfirmed) blame(suspect, confirmed)
        return CrashAdmission.Refused(suspect, isConfirmed)
    }

    /** Whether a request with [parts] would be refused, without counting it as a trial. */
    fun isRefused(parts: List<String>, request: () -> RequestFingerprint): Boolean = blames.isNotEmpty() &&
        (parts.any { CrashSuspect.ofPart(it) in blames } || CrashSuspect.ofRequest(request()) in blames)

    /** Decides which parts are refused. Call it after [timeUntilDecision], which evidence changes. */
    fun decide() {
        isDecisionDue = false
        settlingPart = null
        removeExpired()
        addToBlames()
        while (true) {
            val now = timeSource.markNow()
            val unexplained = losses.all.filter { it.isConfirmed && now - it.at < rules.partWindow && !isExplained(it) }
            if (unexplained.size < rules.partCrashes) return qualifiedSince.clear()
            val qualified = attribution.qualified(unexplained).filter { CrashSuspect.ofPart(it) !in blames }
            qualifiedSince.keys.retainAll(qualified.toSet())
            qualified.forEach { qualifiedSince.putIfAbsent(it, now) }
            // One that has settled has to wait for a likelier one, which may explain the evidence against it.
            val part = qualified.firstOrNull() ?: return
            if (!isSettled(part)) {
                settlingPart = part
                return
            }
            blame(CrashSuspect.ofPart(part), unexplained.filter { part in it.parts })
            withdrawExplained()
            withdrawRedundant()
        }
    }

    private fun wasAnswered(suspect: CrashSuspect) = answers.wasAnswered(suspect.id)

    private fun isSettled(part: String) = timeUntilSettled(part) <= Duration.ZERO

    private fun timeUntilSettled(part: String): Duration {
        val settling = if (answers.wasAnswered(part)) rules.answeredSettling else rules.settling
        return qualifiedSince.getValue(part) + settling - timeSource.markNow()
    }

    /** Adds what another instance tells. */
    fun learn(news: CrashNews) {
        val now = timeSource.markNow()
        news.proofs.forEach { proof ->
            val startedAt = now - proof.ageMilliseconds.age()
            learnAnswer(proof.part, startedAt)
            answers.recordShared(proof.part, startedAt)
        }
        news.losses.forEach { learn(it, now) }
        news.blames.forEach { learn(it, now) }
    }

    private fun learn(report: LossReport, now: ComparableTimeMark) {
        val loss = losses.add(report.endpoint, now - report.ageMilliseconds.age(), report.candidates)
        val added = report.candidates.filter(loss::add)
        added.forEach { offerAnswers(it.parts) }
        if (report.isAlive && loss.refute(now)) withdrawRefuted(report.endpoint)
        val isNewlyConfirmed = (report.isConfirmed || report.hasEnded) && loss.confirm(report.hasEnded)
        if (isNewlyConfirmed || (loss.isConfirmed && added.isNotEmpty())) isDecisionDue = true
    }

    /** Returns what the others have not been told yet, and forgets it. */
    fun takeNews(): CrashNews = outbox.take(::reportOf)

    /** Returns what makes up for lost messages: own recent evidence, and the newest decisions, those on parts first. */
    fun recentNews(): CrashNews {
        val (parts, requests) = (blames.keys + recentlyCleared()).partition(CrashSuspect::isPart)
        val decisions = parts.takeLast(REPEATED_DECISIONS) + requests.takeLast(REPEATED_DECISIONS)
        return CrashNews(losses = outbox.recentLosses(), blames = decisions.map(::reportOf))
    }

    /** Returns the decisions of this instance that have stood for a while, to be kept in the store. */
    fun ownDecisions(): List<BlameReport> {
        val own = blames.filter { (suspect, blame) ->
            blame.isOwn && (suspect.isPart || blame.at.elapsedNow() >= rules.settling * SETTLED_PERIODS)
        }
        return own.keys.map(::reportOf) + recentlyCleared().filter(CrashSuspect::isPart).map(::reportOf)
    }

    private fun recentlyCleared(): List<CrashSuspect> =
        clearedByThis.entries.filter { it.key !in blames && it.value.elapsedNow() < rules.retention }.map { it.key }

    private fun reportOf(suspect: CrashSuspect): BlameReport {
        val blame = blames[suspect]
            ?: return BlameReport(suspect, cleared[suspect].orEmpty().toList(), ageMilliseconds = 0, isCleared = true)
        return BlameReport(
            suspect = suspect,
            endpoints = blame.endpoints.toList(),
            ageMilliseconds = blame.at.elapsedNow().inWholeMilliseconds,
            wasAnswered = blame.wasAnswered,
            trials = blame.trials,
            trialAgeMilliseconds = blame.triedAt?.elapsedNow()?.inWholeMilliseconds ?: 0,
        )
    }

    private fun learn(report: BlameReport, now: ComparableTimeMark) {
        val suspect = report.suspect
        if (report.isCleared) {
            cleared[suspect] = cleared[suspect].orEmpty() + report.endpoints
            val known = blames[suspect] ?: return
            if (report.endpoints.containsAll(known.endpoints)) remove(suspect, "cleared by another instance")
            return
        }
        val endpoints = report.endpoints - cleared[suspect].orEmpty()
        if (endpoints.isEmpty() || (suspect !in blames && blames.size >= MAXIMUM_BLAMES)) return
        val known = blames[suspect]
        val blame = known ?: Blame(now - report.ageMilliseconds.age(), isOwn = false, wasAnswered(suspect))
        endpoints.forEach(blame::add)
        blame.wasAnswered = blame.wasAnswered || report.wasAnswered
        blame.learnTrials(report.trials, now - report.trialAgeMilliseconds.age())
        if (known != null) return
        blames[suspect] = blame
        listener.onBlamed(suspect, blame.endpoints, blame.at.elapsedNow(), isLearned = true)
        withdrawExplained()
    }

    private fun learnAnswer(part: String, startedAt: ComparableTimeMark) {
        answers.record(part, startedAt)
        val suspect = CrashSuspect.ofPart(part)
        val blame = blames[suspect] ?: return
        if (startedAt > blame.at) clear(suspect, "answered")
    }

    /** Tells the others of answers with those of [parts] that they may suspect. */
    private fun offerAnswers(parts: List<String>) {
        for (part in parts) {
            val lastLoss = losses.all.lastOrNull { part in it.parts } ?: continue
            val answeredAt = answers.newsAbout(part, lastLoss.at) ?: continue
            answers.recordShared(part, answeredAt)
            outbox.addProof(part, answeredAt)
        }
    }

    private fun admissionOf(suspects: List<CrashSuspect>): CrashAdmission {
        val now = timeSource.markNow()
        val suspect = suspects.first()
        val blame = blames.getValue(suspect)
        blame.refusedAt = now
        if (suspects.size > 1 || blame.timeOfTrial(suspect, rules) > now) return CrashAdmission.Refused(suspect)
        if (blame.timeOfTrial(suspect, rules, trialRank(suspect)) > now) return CrashAdmission.Refused(suspect)
        blame.recordTrial(now)
        outbox.addDecision(suspect)
        return CrashAdmission.Trial(suspect)
    }

    private fun blame(suspect: CrashSuspect, evidence: List<EndpointLoss>) {
        val blame = Blame(evidence.maxOf(EndpointLoss::at), isOwn = true, wasAnswered(suspect))
        evidence.forEach { blame.add(it.endpoint) }
        if (blames.size >= MAXIMUM_BLAMES) blames.remove(blames.keys.first())
        blames[suspect] = blame
        outbox.addDecision(suspect)
        listener.onBlamed(suspect, blame.endpoints, blame.at.elapsedNow(), isLearned = false)
    }

    private fun clear(suspect: CrashSuspect, reason: String) {
        val blame = blames[suspect] ?: return
        cleared[suspect] = cleared[suspect].orEmpty() + blame.endpoints
        clearedByThis[suspect] = timeSource.markNow()
        outbox.addDecision(suspect)
        remove(suspect, reason)
    }

    private fun remove(suspect: CrashSuspect, reason: String) {
        blames.remove(suspect)
        listener.onCleared(suspect, reason)
    }

    /** Adds losses that what is refused has caused since, by requests that were under way or by trials. */
    private fun addToBlames() {
        for ((suspect, blame) in blames) {
            for (loss in losses.all) {
                val isNew = loss.isConfirmed && loss.at > blame.at && loss.endpoint !in blame.endpoints
                if (!isNew || !loss.fullWeightOf(suspect)) continue
                blame.add(loss.endpoint)
                blame.at = loss.at
                outbox.addDecision(suspect)
            }
        }
    }

    /** Clears requests that are refused because of losses that a refused part explains. */
    private fun withdrawExplained() {
        for (suspect in blames.keys.filterNot(CrashSuspect::isPart)) {
            val known = blames.getValue(suspect).endpoints.mapNotNull(losses::newest)
            if (known.isNotEmpty() && known.any(::isExplained)) clear(suspect, "explained by a part of its prompt")
        }
    }

    /**
     * Clears parts all of whose losses other refused parts explain as well, and these explain more: a sound part that
     * requests with a fatal one have in common with others.
     */
    private fun withdrawRedundant() {
        val confirmed = losses.all.filter(EndpointLoss::isConfirmed)
        val explained = blames.keys.filter(CrashSuspect::isPart)
            .associateWithTo(LinkedHashMap()) { suspect ->
                confirmed.filterTo(HashSet()) { it.fullWeightOf(suspect) }
            }
        for ((suspect, own) in explained.entries.sortedBy { it.value.size }) {
            val others = explained.filterKeys { it != suspect }.values.flatMapTo(HashSet()) { it }
            if (own.isEmpty() || others.size == own.size || !others.containsAll(own)) continue
            explained.remove(suspect)
            clear(suspect, "explained by another part")
        }
    }

    private fun isExplained(loss: EndpointLoss): Boolean =
        loss.all.any { loss.weightOf(it) == EndpointLoss.FULL_WEIGHT && it.hasBlamedPart() }

    private fun CrashCandidate.hasBlamedPart() = parts.any { CrashSuspect.ofPart(it) in blames }

    private fun EndpointLoss.fullWeightOf(suspect: CrashSuspect): Boolean = all.any {
        val holds = if (suspect.isPart) suspect.id in it.parts else it.request.value == suspect.id
        holds && weightOf(it) == EndpointLoss.FULL_WEIGHT
    }

    /** The losses since the last answer to [request] that it may have caused and that nothing else explains. */
    private fun lossesOf(request: RequestFingerprint): List<EndpointLoss> {
        val answeredAt = answeredRequests[request]
        return losses.all.filter { loss ->
            loss.find(request) != null && (answeredAt == null || loss.at > answeredAt) && !isExplained(loss)
        }
    }

    /**
     * A request that had begun may have lost only its connection, unless the loss of the endpoint is confirmed. One
     * that had not counts for as long as it may still be confirmed.
     */
    private fun EndpointLoss.requestWeight(request: RequestFingerprint): Int {
        val candidate = find(request) ?: return 0
        return when {
            isConfirmed -> weightOf(candidate)
            !isOpen || candidate.hasBegun || timeSource.markNow() - at >= rules.confirmationTime -> 0
            else -> EndpointLoss.FULL_WEIGHT
        }
    }

    private val requestThreshold: Int get() = rules.requestCrashes * EndpointLoss.FULL_WEIGHT

    /** Removes what is too old to count; refusals that have expired are cleared. */
    fun removeExpired() {
        val now = timeSource.markNow()
        losses.removeExpired(now)
        val expired = blames.filter { (suspect, blame) ->
            val lastSeen = maxOf(blame.at, blame.refusedAt?.takeIf { suspect.isPart } ?: blame.at)
            now - lastSeen >= rules.retention
        }
        expired.keys.forEach { clear(it, "expired") }
    }

    private companion object {
        const val MAXIMUM_BLAMES = 256

        /** Decisions of each kind that are told again and again; more would fill the links of a large fleet. */
        const val REPEATED_DECISIONS = 16

        /** A request is often cleared as soon as a part of its prompt is found to explain its losses. */
        const val SETTLED_PERIODS = 4
    }
}
