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

/** The ages of the cached state of an entry, in seconds. */
@Serializable
public data class CachedStateAges(val lists: Double, val instances: Double, val loadReports: Map<RunnerId, Double>)

/** The number of running requests of an entry, and whether it is shutting down. */
@Serializable
public data class RequestCounts(val running: Int, val isShuttingDown: Boolean)

/** Provides the status and the request explanations that operators query at an entry. */
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

/** Returns the section with [ages] and the age of the lists from [currency]. */
internal fun agesSection(ages: StateAges, currency: ListsCurrency): StatusSection =
    statusSection("age in seconds", CachedStateAges.serializer()) {
        CachedStateAges(
            lists = currency.age.inSeconds,
            instances = ages.age(CachedState.Instances).inSeconds,
            loadReports = ages.reportAges().mapValues { it.value.inSeconds },
        )
    }

/** This duration in seconds, truncated to milliseconds. */
private val Duration.inSeconds: Double get() = inWholeMilliseconds.milliseconds.toDouble(DurationUnit.SECONDS)

/** Returns the section with the number of running requests. */
internal fun requestsSection(gate: ShutdownGate): StatusSection =
    statusSection("requests", RequestCounts.serializer()) { RequestCounts(gate.runningRequests, gate.isClosed) }

/** Returns the section with the totals billed by this incarnation, by client account. */
internal fun billsSection(lists: ListsHolder, ledger: BillLedger): StatusSection =
    statusSection("bills", MapSerializer(String.serializer(), BillTotals.serializer())) {
        lists.snapshot.accounts.associate { it.id.value to ledger.totals(it.id) }.filterValues { it.answers > 0 }
    }

/** Returns the section with the number of sessions opened, by version. */
internal fun sessionsSection(sessions: SessionCounts): StatusSection =
    statusSection("sessions opened", MapSerializer(ModelVersionReference.serializer(), Long.serializer())) {
        sessions.byVersion()
    }

/** Returns the section with the state of each version in the lists in force. */
internal fun versionsSection(lists: ListsHolder): StatusSection =
    statusSection("versions", MapSerializer(String.serializer(), VersionStatus.serializer())) {
        lists.snapshot.lists.models.models.flatMap { model ->
            model.versions.map {
                "${ModelVersionReference(model.id, it.id)}" to VersionStatus(it.state.name, it.newSessionShare)
            }
        }.toMap()
    }

/** The state of a version in the lists, and its share of new sessions. */
@Serializable
public data class VersionStatus(val state: String, val newSessionShare: Double?)
