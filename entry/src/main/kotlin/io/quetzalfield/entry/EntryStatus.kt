package io.quetzalfield.entry

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RunnerId
import io.quetzalfield.store.bills.BillTotals
import io.quetzalfield.support.status.DaemonStatus
import io.quetzalfield.support.status.RequestExplanation
import io.quetzalfield.support.status.RequestSummary
import io.quetzalfield.support.status.StatusSection
import io.quetzalfield.support.status.readAll
import io.quetzalfield.support.status.statusSection
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Ages, in seconds, of the state that an entry holds copies of. */
@Serializable
public data class CachedStateAges(val lists: Double, val instances: Double, val loadReports: Map<RunnerId, Double>)

/** The requests at an entry. */
@Serializable
public data class RequestCounts(val running: Int, val isShuttingDown: Boolean)

/** Answers the queries of operators at an entry. */
internal class EntryStatus(
    private val incarnation: Incarnation,
    private val lists: ListsHolder,
    private val journal: BoundedRequestJournal,
    private val sections: List<StatusSection>,
) {
    fun status(): DaemonStatus = DaemonStatus(
        kind = InstanceKind.ENTRY,
        incarnation = incarnation,
        listsRevision = lists.revision,
        sections = sections.readAll(),
    )

    fun explanation(request: RequestId): RequestExplanation? =
        journal.events(request)?.let { explain(request, incarnation, it) }

    fun latest(): List<RequestSummary> =
        journal.latest(LATEST_LIMIT).map { id -> summarise(id, journal.events(id).orEmpty()) }

    private companion object {
        const val LATEST_LIMIT = 100
    }
}

/** The section that shows [ages], and the age of the lists by [currency]. */
internal fun agesSection(ages: StateAges, currency: ListsCurrency): StatusSection =
    statusSection("age in seconds", CachedStateAges.serializer()) {
        CachedStateAges(
            lists = currency.age.inSeconds,
            instances = ages.age(CachedState.Instances).inSeconds,
            loadReports = ages.reportAges().mapValues { it.value.inSeconds },
        )
    }

/** This time in seconds, without what is below a millisecond. */
private val Duration.inSeconds: Double get() = inWholeMilliseconds.milliseconds.toDouble(DurationUnit.SECONDS)

/** The section that shows how many requests run. */
internal fun requestsSection(gate: ShutdownGate): StatusSection =
    statusSection("requests", RequestCounts.serializer()) { RequestCounts(gate.runningRequests, gate.isClosed) }

/** The section that shows the sums that this incarnation has billed, by client account. */
internal fun billsSection(lists: ListsHolder, ledger: BillLedger): StatusSection =
    statusSection("bills", MapSerializer(String.serializer(), BillTotals.serializer())) {
        lists.snapshot.accounts.associate { it.id.value to ledger.totals(it.id) }.filterValues { it.answers > 0 }
    }

/** The section that shows how many sessions were opened on each version. */
internal fun sessionsSection(sessions: SessionCounts): StatusSection =
    statusSection("sessions opened", MapSerializer(ModelVersionReference.serializer(), Long.serializer())) {
        sessions.byVersion()
    }

/** The section that shows the state of each version by the lists in force. */
internal fun versionsSection(lists: ListsHolder): StatusSection =
    statusSection("versions", MapSerializer(String.serializer(), VersionStatus.serializer())) {
        lists.snapshot.lists.models.models.flatMap { model ->
            model.versions.map {
                "${ModelVersionReference(model.id, it.id)}" to VersionStatus(it.state.name, it.newSessionShare)
            }
        }.toMap()
    }

/** What the lists say of a version. */
@Serializable
public data class VersionStatus(val state: String, val newSessionShare: Double?)
