package io.quetzalfield.replay

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.validateLists

private const val FIRST_EVENT_LINE = 2

/** The first invalid value of [trace], or `null` when it is valid. */
internal fun traceFault(trace: Trace): TraceError.InvalidValue? {
    headerFault(trace.header)?.let { return it }
    val checks = EventChecks(trace.header)
    return trace.events.asSequence()
        .mapIndexedNotNull { index, event -> checks.fault(index + FIRST_EVENT_LINE, event) }
        .firstOrNull()
}

private fun headerFault(header: TraceHeader): TraceError.InvalidValue? {
    val line = LineChecks(line = 1)
    line.check(header.formatVersion == TRACE_FORMAT_VERSION, "formatVersion", header.formatVersion) {
        "$TRACE_FORMAT_VERSION"
    }
    line.checkLists("lists", header.lists)
    line.check(header.runners.isNotEmpty(), "runners", "empty") { "at least one runner" }
    for (runner in header.runners) {
        val path = "runners[${runner.id}]"
        line.check(runner.slots > 0, "$path.slots", runner.slots) { "1 or more" }
        line.check(runner.promptTokensPerSecond > 0, "$path.promptTokensPerSecond", runner.promptTokensPerSecond) {
            "more than 0"
        }
        line.check(runner.prefixCapacity >= 0, "$path.prefixCapacity", runner.prefixCapacity) { "0 or more" }
        for (version in runner.versions) {
            val speed = header.millisecondsPerToken[version]
            line.check(speed != null && speed > 0, "millisecondsPerToken[$version]", speed ?: "missing") {
                "more than 0"
            }
        }
    }
    return line.fault
}

/** Checks the values of one line and keeps the first fault. */
private class LineChecks(private val line: Int) {
    var fault: TraceError.InvalidValue? = null
        private set

    inline fun check(isValid: Boolean, key: String, found: Any, allowed: () -> String) {
        if (!isValid && fault == null) fault = TraceError.InvalidValue(line, key, found.toString(), allowed())
    }

    fun checkLists(key: String, lists: OperatorLists) {
        val first = validateLists(lists).firstOrNull() ?: return
        check(false, "$key.${first.path}", first.found) { first.allowed }
    }
}

/** Checks events in order, each against the lists in force at its time. */
private class EventChecks(header: TraceHeader) {
    private val runners = header.runners.map { it.id }.toSet()
    private val loadedVersions = header.runners.flatMap { it.versions }.toSet()
    private var snapshot = ListsSnapshot(header.lists)
    private var lastTime = 0L

    fun fault(number: Int, event: TraceEvent): TraceError.InvalidValue? {
        val line = LineChecks(number)
        line.check(event.timeMilliseconds >= lastTime, "timeMilliseconds", event.timeMilliseconds) {
            "$lastTime or more, as lines are in order of time"
        }
        lastTime = event.timeMilliseconds
        when (event) {
            is TraceRequest -> checkRequest(line, event)

            is TraceListsChange -> checkListsChange(line, event)

            is TraceRunnerReport -> checkReport(line, event)

            is TraceRunnerLoss -> {
                checkRunner(line, event.runner)
                checkUntil(line, event, event.untilMilliseconds)
            }

            is TraceBadVersion -> {
                checkVersion(line, "version", event.version)
                checkUntil(line, event, event.untilMilliseconds)
            }
        }
        return line.fault
    }

    private fun checkRequest(line: LineChecks, request: TraceRequest) {
        checkAccount(line, request.account)
        line.check(request.kind.isNotBlank(), "kind", "blank") { "the name of a kind" }
        line.check(request.promptTokens > 0, "promptTokens", request.promptTokens) { "1 or more" }
        line.check(request.answerTokens > 0, "answerTokens", request.answerTokens) { "1 or more" }
        val delay = request.ratingDelayMilliseconds
        line.check(delay == null || delay >= 0, "ratingDelayMilliseconds", "$delay") { "0 or more" }
        for ((version, outcome) in request.outcomes) {
            line.check(outcome.score in 0.0..1.0, "outcomes[$version].score", outcome.score) { "from 0 to 1" }
        }
        val plan = snapshot.account(request.account)?.plan ?: return
        for (version in snapshot.allowedVersions(plan)) {
            line.check(version in request.outcomes, "outcomes[$version]", "missing") {
                "an outcome for every version that the plan $plan allows"
            }
        }
    }

    private fun checkListsChange(line: LineChecks, event: TraceListsChange) {
        line.check(event.lists.revision > snapshot.revision, "lists.revision", event.lists.revision) {
            "more than ${snapshot.revision}"
        }
        line.checkLists("lists", event.lists)
        snapshot = ListsSnapshot(event.lists)
    }

    private fun checkReport(line: LineChecks, event: TraceRunnerReport) {
        checkRunner(line, event.runner)
        line.check(event.delayMilliseconds >= 0, "delayMilliseconds", event.delayMilliseconds) { "0 or more" }
    }

    private fun checkAccount(line: LineChecks, account: ClientAccountId) {
        line.check(snapshot.account(account) != null, "account", account) { "an account of the lists in force" }
    }

    private fun checkRunner(line: LineChecks, runner: RunnerId) {
        line.check(runner in runners, "runner", runner) { "one of $runners" }
    }

    private fun checkVersion(line: LineChecks, key: String, version: ModelVersionReference) {
        line.check(version in loadedVersions, key, version) { "one of $loadedVersions" }
    }

    private fun checkUntil(line: LineChecks, event: TraceEvent, until: Long) {
        line.check(until > event.timeMilliseconds, "untilMilliseconds", until) { "more than timeMilliseconds" }
    }
}
