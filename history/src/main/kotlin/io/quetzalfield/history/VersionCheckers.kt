package io.quetzalfield.history

import io.quetzalfield.history.HistoryEvent.RequestSent
import io.quetzalfield.history.HistoryEvent.RunStarted
import io.quetzalfield.history.HistoryEvent.SessionOpened
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.VersionState

/** Checks that every run of a version is allowed by lists that were in force between the request and the run. */
public val planAllowsVersionChecker: PromiseChecker<RunStarted> = PromiseChecker(
    promise = Promise.PLAN_ALLOWS_VERSION,
    cases = { history -> history.runs.filter { it.version != null } },
    subject = RunStarted::key,
    fault = { run ->
        val send = sends(run.key).lastOrNull { it.at <= run.at }
        when {
            send == null -> "${run.version} ran at ${run.endpoint} without a request"
            listsAround(send, run).any { it.allows(send, run) } -> null
            else -> "the plan of ${send.account} does not allow ${run.version}"
        }
    },
)

/**
 * Checks that every run after a withdrawal of some version is on a version that could accept the request according to
 * lists in force within the bound before the run.
 */
public val withdrawnVersionChecker: PromiseChecker<RunStarted> = PromiseChecker(
    promise = Promise.WITHDRAWN_VERSION_IDLE,
    cases = { history -> history.runs.filter { run -> run.version != null && history.hasWithdrawalBefore(run) } },
    subject = RunStarted::key,
    fault = { run ->
        val hasSession = sends(run.key).any { it.session != null }
        val isOpen = listsInForce(run.at - header.listsBound, run.at).any { it.acceptsWork(run, hasSession) }
        if (isOpen) null else "${run.version} got new work at ${run.endpoint} after it was withdrawn or set to draining"
    },
)

/** Checks that every run and every answer of a session are on the version with which the session was opened. */
public val sessionChecker: PromiseChecker<RequestSent> = PromiseChecker(
    promise = Promise.SESSION_KEEPS_VERSION,
    cases = { history -> history.sends.filter { it.session != null && history.versionsOf(it).isNotEmpty() } },
    subject = { "${it.session}" },
    fault = { send ->
        val pinned = events<SessionOpened>().firstOrNull { it.session == send.session }?.version
        val others = versionsOf(send) - setOfNotNull(pinned)
        if (others.isEmpty()) null else "request ${send.key} is on $others, but the session is on $pinned"
    },
)

private fun History.listsAround(send: RequestSent, run: RunStarted) = listsInForce(send.at - header.listsBound, run.at)

private fun OperatorLists.allows(send: RequestSent, run: RunStarted): Boolean {
    val snapshot = ListsSnapshot(this)
    val account = snapshot.account(send.account) ?: return false
    return run.version in snapshot.allowedVersions(account.plan)
}

private fun History.hasWithdrawalBefore(run: RunStarted): Boolean =
    listsInForce(HistoryTime(0), run.at - header.listsBound).any { lists ->
        lists.models.models.any { model -> model.versions.any { it.state == VersionState.WITHDRAWN } }
    }

private fun OperatorLists.acceptsWork(run: RunStarted, hasSession: Boolean): Boolean =
    when (run.version?.let { ListsSnapshot(this).version(it) }?.state) {
        VersionState.SERVING -> true
        VersionState.DRAINING -> hasSession
        VersionState.WITHDRAWN, null -> false
    }

private fun History.versionsOf(send: RequestSent) =
    (runs(send.key).map { it.version } + (end(send.request)?.outcome as? CallerOutcome.Answered)?.version)
        .filterNotNull()
        .toSet()
