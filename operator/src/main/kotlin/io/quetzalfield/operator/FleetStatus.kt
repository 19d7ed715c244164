package io.quetzalfield.operator

import arrow.core.Either
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.store.DUTY_PREFIX
import io.quetzalfield.support.status.DaemonStatus
import kotlinx.serialization.Serializable

/**
 * The status of one entry or steward.
 *
 * @property status the status that it reports; `null` when it did not answer.
 * @property problem why it did not answer.
 */
@Serializable
public data class DaemonReport(
    val instance: InstanceId,
    val kind: InstanceKind,
    val failureDomain: FailureDomainId,
    val isLeaving: Boolean,
    val status: DaemonStatus? = null,
    val problem: String? = null,
)

/** The holder of a duty as recorded in the key-value service. */
@Serializable
public data class DutyHolder(val duty: String, val holder: String, val fencingNumber: Long)

/**
 * The status of the fleet that `watch` shows.
 *
 * @property storedRevision revision of the stored lists; `null` when the key-value service did not answer.
 * @property duties holders of all duties; `null` when the key-value service did not answer.
 */
@Serializable
public data class FleetStatus(
    val storedRevision: ListsRevision?,
    val daemons: List<DaemonReport>,
    val duties: List<DutyHolder>?,
)

/** Why the status of the fleet could not be read. */
public data class FleetStatusError(val message: String)

/** Reads the status of every listed entry and steward, also while the key-value service is unavailable. */
public fun PlatformConnection.readFleetStatus(): Either<FleetStatusError, FleetStatus> = directory.instances()
    .mapLeft { FleetStatusError(it.message) }
    .map { instances ->
        FleetStatus(
            storedRevision = ListsStore(store).read().getOrNull()?.let { it.lists?.revision ?: ListsRevision.None },
            daemons = instances.filter { it.kind in daemonKinds }.map(::readDaemon),
            duties = readDuties(),
        )
    }

private val daemonKinds = listOf(InstanceKind.ENTRY, InstanceKind.STEWARD)

private fun PlatformConnection.readDaemon(daemon: ListedInstance): DaemonReport {
    val report = DaemonReport(daemon.id, daemon.kind, daemon.failureDomain, daemon.isLeaving)
    return daemons.status(daemon).fold({ report.copy(problem = it.message) }, { report.copy(status = it) })
}

private fun PlatformConnection.readDuties(): List<DutyHolder>? = store.list(DUTY_PREFIX).getOrNull()
    ?.map { DutyHolder(it.key.removePrefix(DUTY_PREFIX), it.value, it.created.value) }
