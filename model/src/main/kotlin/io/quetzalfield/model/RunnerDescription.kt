package io.quetzalfield.model

import kotlinx.serialization.Serializable

/** What kind of instance the platform's list names. */
@Serializable
public enum class InstanceKind { ENTRY, STEWARD, RUNNER, SERVICE }

/**
 * One instance as the platform's lagging list describes it.
 *
 * @property address `http://` address with port at which it takes requests.
 * @property peerAddress `host:port` of the peer protocol; only entries and stewards have one.
 * @property isLeaving whether it has announced that it will stop.
 * @property versions the model versions that a runner has loaded.
 * @property service the service that a service instance belongs to.
 * @property start the start number of an entry or steward.
 * @property slots how many requests a runner batches at a time.
 * @property operatorAddress `http://` address of the operator interface of an entry or steward.
 */
@Serializable
public data class ListedInstance(
    val id: InstanceId,
    val kind: InstanceKind,
    val address: String,
    val failureDomain: FailureDomainId,
    val peerAddress: String? = null,
    val isLeaving: Boolean = false,
    val versions: List<ModelVersionReference> = emptyList(),
    val service: ServiceId? = null,
    val start: String? = null,
    val slots: Int = 8,
    val operatorAddress: String? = null,
)

/** The incarnation that runs on the instance, when the list names its start number. */
public val ListedInstance.incarnation: Incarnation? get() = start?.let { Incarnation(id, it) }
