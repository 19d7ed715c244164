package io.quetzalfield.history

import io.quetzalfield.history.HistoryEvent.LeavingAnnounced
import io.quetzalfield.history.HistoryEvent.ListsAccepted
import io.quetzalfield.history.HistoryEvent.RequestSent
import io.quetzalfield.history.HistoryEvent.RevisionSeen
import io.quetzalfield.history.HistoryEvent.ShutdownEnded
import io.quetzalfield.history.HistoryEvent.ShutdownStarted

/**
 * Checks that no run starts at a leaving endpoint after the bound. Only endpoints after whose bound any run started
 * count as cases.
 */
public val leavingEndpointChecker: PromiseChecker<LeavingAnnounced> = PromiseChecker(
    promise = Promise.LEAVING_ENDPOINT_IDLE,
    cases = { history ->
        history.events<LeavingAnnounced>().filter { leaving ->
            history.runs.any { it.at > leaving.at + history.header.leavingBound }
        }
    },
    subject = LeavingAnnounced::endpoint,
    fault = { leaving ->
        runs.firstOrNull { it.endpoint == leaving.endpoint && it.at > leaving.at + header.leavingBound }
            ?.let { "got ${it.key} at ${it.at}, but was leaving since ${leaving.at}" }
    },
)

/** Checks that every request open during a graceful shutdown of its entry ends with an answer or a typed failure. */
public val shutdownChecker: PromiseChecker<RequestSent> = PromiseChecker(
    promise = Promise.SHUTDOWN_CUTS_NOTHING,
    cases = { history -> history.sends.filter { history.wasOpenInShutdown(it) } },
    subject = RequestSent::request,
    fault = { send ->
        when (val outcome = outcome(send)) {
            null -> "never ended"
            is CallerOutcome.Cut -> "was cut by the shutdown of ${send.entry}: ${outcome.message}"
            else -> null
        }
    },
)

/**
 * Checks that accepted revisions increase, that no entry goes back to a lower one, and that accepted lists are in force
 * at every entry within the bound.
 */
public val listsChecker: PromiseChecker<RevisionSeen> = PromiseChecker(
    promise = Promise.LISTS_IN_FORCE,
    cases = { history ->
        history.events<RevisionSeen>().takeIf { seen -> seen.any { history.dueRevision(it) != null } }.orEmpty()
    },
    subject = { "${it.entry} at revision ${it.revision}" },
    fault = { seen -> acceptanceFault() ?: reversalFault(seen) ?: delayFault(seen) },
)

private fun History.wasOpenInShutdown(send: RequestSent): Boolean {
    val started = events<ShutdownStarted>().firstOrNull { it.entry == send.entry } ?: return false
    val ended = events<ShutdownEnded>().firstOrNull { it.entry == send.entry }
    val isSentBeforeEnd = ended == null || send.at < ended.at
    val endOfRequest = end(send.request)
    val isOpenAfterStart = endOfRequest == null || endOfRequest.at >= started.at
    return isSentBeforeEnd && isOpenAfterStart && endOfRequest?.outcome != CallerOutcome.Unreachable
}

/** The newest revision that must be in force at the time of [seen]. */
private fun History.dueRevision(seen: RevisionSeen) = events<ListsAccepted>()
    .filter { it.at + header.listsBound < seen.at }
    .maxOfOrNull { it.lists.revision }

private fun History.acceptanceFault(): String? = events<ListsAccepted>()
    .zipWithNext()
    .firstOrNull { (previous, next) -> next.lists.revision <= previous.lists.revision }
    ?.let { (previous, next) -> "revision ${next.lists.revision} was accepted after ${previous.lists.revision}" }

private fun History.reversalFault(seen: RevisionSeen): String? = events<RevisionSeen>()
    .firstOrNull { it.entry == seen.entry && it.at <= seen.at && it.revision > seen.revision }
    ?.let { "went back from ${it.revision}" }

private fun History.delayFault(seen: RevisionSeen): String? =
    dueRevision(seen)?.takeIf { it > seen.revision }?.let { "revision $it was due by ${seen.at}" }
