package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Whether a request may be sent to an endpoint. */
internal sealed interface CrashAdmission {
    /** Nothing is known against the request. */
    data object Allowed : CrashAdmission

    /** The request is refused because of [suspect]. */
    data class Refused(val suspect: CrashSuspect) : CrashAdmission

    /** The request is refused because of [suspect] but may be sent once, to find out whether that still holds. */
    data class Trial(val suspect: CrashSuspect) : CrashAdmission
}

/** Receives the decisions of a [CrashLedger]. */
internal interface CrashListener {
    /** Called when requests with [suspect] are refused from now on; the last of [endpoints] ended [age] ago by it. */
    fun onBlamed(suspect: CrashSuspect, endpoints: Collection<RunnerId>, age: Duration, isLearned: Boolean)

    /** Called when requests with [suspect] are no longer refused. */
    fun onCleared(suspect: CrashSuspect, reason: String)
}

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
    /** In the order of their times. */
    private val losses = ArrayList<EndpointLoss>()
    private val answeredParts = RecentMap<String, ComparableTimeMark>(MAXIMUM_ANSWERED)
    private val answeredRequests = RecentMap<RequestFingerprint, ComparableTimeMark>(MAXIMUM_ANSWERED)

    /** Newest answers with a part that all instances know of. */
    private val sharedAnswers = RecentMap<String, ComparableTimeMark>(MAXIMUM_ANSWERED)
    private val blames = LinkedHashMap<CrashSuspect, Blame>()

    /** Endpoints because of which a suspect is not blamed any more. */
    private val cleared = RecentMap<CrashSuspect, Set<RunnerId>>(MAXIMUM_BLAMES)
    private val clearedByThis = RecentMap<CrashSuspect, ComparableTimeMark>(MAXIMUM_BLAMES)
    private val qualifiedSince = HashMap<String, ComparableTimeMark>()

    /** The part that is decided on next, as soon as answers had time to clear it. */
    private var settlingPart: String? = null
    private val attribution = PartAttribution(rules, answeredParts::get)
    private val outbox = CrashOutbox(timeSource)

    /** Whether nothing is recorded that could concern a request. */
    val isEmpty: Boolean get() = losses.isEmpty() && blames.isEmpty()

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
    fun isUnconfirmed(endpoint: RunnerId): Boolean = newestLoss(endpoint)?.isConfirmed == false

    /** Records that the connection for [candidate] to [endpoint] was lost. */
    fun recordLoss(endpoint: RunnerId, candidate: CrashCandidate) {
        val loss = lossOf(endpoint, timeSource.markNow())
        if (loss.add(candidate)) {
            outbox.addLoss(loss, candidate)
            isDecisionDue = isDecisionDue || loss.isConfirmed
        }
        offerAnswers(candidate.parts)
    }

    /** Records that [endpoint] refuses connections after its loss. */
    fun confirm(endpoint: RunnerId) {
        val loss = newestLoss(endpoint)?.takeUnless(EndpointLoss::isConfirmed) ?: return
        loss.isConfirmed = true
        outbox.addConfirmation(loss)
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
        if (suspect !in blames) {
            val evidence = lossesOf(fingerprint)
            if (evidence.sumOf { it.requestWeight(fingerprint) } < requestThreshold) return CrashAdmission.Allowed
            blame(suspect, evidence)
        }
        return CrashAdmission.Refused(suspect)
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
            val unexplained = losses.filter { it.isConfirmed && now - it.at < rules.partWindow && !isExplained(it) }
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

    private fun wasAnswered(part: String) = part in answeredParts

    private fun wasAnswered(suspect: CrashSuspect) = wasAnswered(suspect.id)

    private fun isSettled(part: String) = timeUntilSettled(part) <= Duration.ZERO

    private fun timeUntilSettled(part: String): Duration {
        val settling = if (wasAnswered(part)) rules.answeredSettling else rules.settling
        return qualifiedSince.getValue(part) + settling - timeSource.markNow()
    }

    /** Adds what another instance tells. */
    fun learn(news: CrashNews) {
        val now = timeSource.markNow()
        news.proofs.forEach { proof ->
            val startedAt = now - proof.ageMilliseconds.age()
            learnAnswer(proof.part, startedAt)
            sharedAnswers.raise(proof.part, startedAt)
        }
        news.losses.forEach { learn(it, now) }
        news.blames.forEach { learn(it, now) }
    }

    private fun learn(report: LossReport, now: ComparableTimeMark) {
        val loss = lossOf(report.endpoint, now - report.ageMilliseconds.age(), report.candidates)
        val added = report.candidates.filter(loss::add)
        added.forEach { offerAnswers(it.parts) }
        val isNewlyConfirmed = report.isConfirmed && !loss.isConfirmed
        loss.isConfirmed = loss.isConfirmed || report.isConfirmed
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
        answeredParts.raise(part, startedAt)
        val suspect = CrashSuspect.ofPart(part)
        val blame = blames[suspect] ?: return
        if (startedAt > blame.at) clear(suspect, "answered")
    }

    /** Tells the others of answers with those of [parts] that they may suspect. */
    private fun offerAnswers(parts: List<String>) {
        for (part in parts) {
            val answeredAt = answeredParts[part]
            if (answeredAt == null || !isNewsAbout(part, answeredAt)) continue
            sharedAnswers[part] = answeredAt
            outbox.addProof(part, answeredAt)
        }
    }

    /** Whether an answer at [answeredAt] may clear [part] of a loss for which the others know of none. */
    private fun isNewsAbout(part: String, answeredAt: ComparableTimeMark): Boolean {
        val lastLoss = losses.lastOrNull { part in it.parts } ?: return false
        val sharedAt = sharedAnswers[part] ?: return true
        return sharedAt < lastLoss.at && answeredAt > sharedAt
    }

    private fun admissionOf(suspects: List<CrashSuspect>): CrashAdmission {
        val now = timeSource.markNow()
        val suspect = suspects.first()
        val blame = blames.getValue(suspect)
        blame.refusedAt = now
        if (suspects.size > 1 || blame.timeOfTrial(rules) > now) return CrashAdmission.Refused(suspect)
        if (blame.timeOfTrial(rules, trialRank(suspect)) > now) return CrashAdmission.Refused(suspect)
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

    /** Adds losses that requests with a refused part have caused since, as requests were still under way. */
    private fun addToBlames() {
        for ((suspect, blame) in blames) {
            if (!suspect.isPart) continue
            for (loss in losses) {
                val isNew = loss.isConfirmed && loss.at > blame.at && loss.endpoint !in blame.endpoints
                if (!isNew || !loss.fullWeightOf(suspect.id)) continue
                blame.add(loss.endpoint)
                blame.at = loss.at
                outbox.addDecision(suspect)
            }
        }
    }

    /** Clears requests that are refused because of losses that a refused part explains. */
    private fun withdrawExplained() {
        for (suspect in blames.keys.filterNot(CrashSuspect::isPart)) {
            val known = blames.getValue(suspect).endpoints.mapNotNull(::newestLoss)
            if (known.isNotEmpty() && known.any(::isExplained)) clear(suspect, "explained by a part of its prompt")
        }
    }

    /**
     * Clears parts all of whose losses other refused parts explain as well, and these explain more: a sound part that
     * requests with a fatal one have in common with others.
     */
    private fun withdrawRedundant() {
        val confirmed = losses.filter(EndpointLoss::isConfirmed)
        val explained = blames.keys.filter(CrashSuspect::isPart)
            .associateWithTo(LinkedHashMap()) { suspect ->
                confirmed.filterTo(HashSet()) { it.fullWeightOf(suspect.id) }
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

    private fun EndpointLoss.fullWeightOf(part: String): Boolean =
        all.any { part in it.parts && weightOf(it) == EndpointLoss.FULL_WEIGHT }

    /** The losses since the last answer to [request] that it may have caused and that nothing else explains. */
    private fun lossesOf(request: RequestFingerprint): List<EndpointLoss> {
        val answeredAt = answeredRequests[request]
        return losses.filter { loss ->
            loss.find(request) != null && (answeredAt == null || loss.at > answeredAt) && !isExplained(loss)
        }
    }

    /** A request that had begun may have lost only its connection, unless the loss of the endpoint is confirmed. */
    private fun EndpointLoss.requestWeight(request: RequestFingerprint): Int {
        val candidate = find(request) ?: return 0
        return when {
            isConfirmed -> weightOf(candidate)
            candidate.hasBegun -> 0
            else -> EndpointLoss.FULL_WEIGHT
        }
    }

    private val requestThreshold: Int get() = rules.requestCrashes * EndpointLoss.FULL_WEIGHT

    private fun EndpointLoss.holdsAll(candidates: List<CrashCandidate>) = candidates.all { find(it.request) != null }

    private fun newestLoss(endpoint: RunnerId): EndpointLoss? = losses.lastOrNull { it.endpoint == endpoint }

    /** The loss of [endpoint] at [at]. One with the same [candidates] is the same, reported with a wrong age. */
    private fun lossOf(
        endpoint: RunnerId,
        at: ComparableTimeMark,
        candidates: List<CrashCandidate> = emptyList(),
    ): EndpointLoss {
        val ofEndpoint = losses.filter { it.endpoint == endpoint }
        val known = ofEndpoint.lastOrNull { (at - it.at).absoluteValue < rules.sameLoss }
            ?: ofEndpoint.lastOrNull { candidates.isNotEmpty() && it.holdsAll(candidates) }
        if (known != null) return known
        if (losses.size >= MAXIMUM_LOSSES) losses.remove(losses.firstOrNull { !it.isConfirmed } ?: losses.first())
        val loss = EndpointLoss(endpoint, at)
        losses.add(losses.indexOfLast { it.at <= at } + 1, loss)
        return loss
    }

    /** Removes what is too old to count; refusals that have expired are cleared. */
    fun removeExpired() {
        val now = timeSource.markNow()
        losses.removeAll { now - it.at >= rules.retention }
        val expired = blames.filter { (suspect, blame) ->
            val lastSeen = maxOf(blame.at, blame.refusedAt?.takeIf { suspect.isPart } ?: blame.at)
            now - lastSeen >= rules.retention
        }
        expired.keys.forEach { clear(it, "expired") }
    }

    private object NoListener : CrashListener {
        override fun onBlamed(
            suspect: CrashSuspect,
            endpoints: Collection<RunnerId>,
            age: Duration,
            isLearned: Boolean,
        ) = Unit

        override fun onCleared(suspect: CrashSuspect, reason: String) = Unit
    }

    private companion object {
        /** More than end in a series before its cause is refused; about 400 KB with all their requests. */
        const val MAXIMUM_LOSSES = 64

        /** Parts that are in use at a time; about 150 bytes each. */
        const val MAXIMUM_ANSWERED = 4_096
        const val MAXIMUM_BLAMES = 256

        /** Decisions of each kind that are told again and again; more would fill the links of a large fleet. */
        const val REPEATED_DECISIONS = 16

        /** A request is often cleared as soon as a part of its prompt is found to explain its losses. */
        const val SETTLED_PERIODS = 4
    }
}
