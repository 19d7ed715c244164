package io.quetzalfield.history

import io.quetzalfield.history.HistoryEvent.LeavingAnnounced
import io.quetzalfield.history.HistoryEvent.ListsAccepted
import io.quetzalfield.history.HistoryEvent.RequestSent
import io.quetzalfield.history.HistoryEvent.RevisionSeen
import io.quetzalfield.history.HistoryEvent.ShutdownEnded
import io.quetzalfield.history.HistoryEvent.ShutdownStarted

/** No run may start at a leaving endpoint after the bound. Only endpoints count after whose bound work went on. */
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
            ?.let { "got ${it.key} at ${it.at}, after it was leaving at ${leaving.at}" }
    },
)

/** Every request that was open while its entry shut down gracefully must end with an answer or a typed failure. */
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

/** Revisions only grow at the platform and at each entry, and after the bound every entry has the accepted one. */
public val listsChecker: PromiseChecker<RevisionSeen> = PromiseChecker(
    promise = Promise.LISTS_IN_FORCE,
    cases = { history ->
        history.events<RevisionSeen>().takeIf { seen -> seen.any { history.dueRevision(it) != null } }.orEmpty()
    },
    subject = { "${it.entry} at revision ${it.revision}" },
    fault = { seen -> acceptanceFault() ?: reversal(seen) ?: delay(seen) },
)

private fun History.wasOpenInShutdown(send: RequestSent): Boolean {
    val started = events<ShutdownStarted>().firstOrNull { it.entry == send.entry } ?: return false
    val ended = events<ShutdownEnded>().firstOrNull { it.entry == send.entry }
    val isSentBeforeEnd = ended == null || send.at < ended.at
    val endOfRequest = end(send.request)
    val isOpenAfterStart = endOfRequest == null || endOfRequest.at >= started.at
    return isSentBeforeEnd && isOpenAfterStart && endOfRequest?.outcome != CallerOutcome.Unreachable
}

/** The newest revision that must be in force when [seen] was seen. */
private fun History.dueRevision(seen: RevisionSeen) = events<ListsAccepted>()
    .filter { it.at + header.listsBound < seen.at }
    .maxOfOrNull { it.lists.revision }

private fun History.acceptanceFault(): String? = events<ListsAccepted>()
    .zipWithNext()
    .firstOrNull { (former, next) -> next.lists.revision <= former.lists.revision }
    ?.let { (former, next) -> "revision ${next.lists.revision} was accepted after ${former.lists.revision}" }

private fun History.reversal(seen: RevisionSeen): String? = events<RevisionSeen>()
    .firstOrNull { it.entry == seen.entry && it.at <= seen.at && it.revision > seen.revision }
    ?.let { "went back from ${it.revision}" }

private fun History.delay(seen: RevisionSeen): String? =
    dueRevision(seen)?.takeIf { it > seen.revision }?.let { "revision $it was due by ${seen.at}" }
