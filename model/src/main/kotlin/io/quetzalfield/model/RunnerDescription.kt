package io.quetzalfield.model

import kotlinx.serialization.Serializable

/** Kind of an instance in the platform's list. */
@Serializable
public enum class InstanceKind { ENTRY, STEWARD, RUNNER, SERVICE }

/**
 * An instance as described by the platform's list, which lags.
 *
 * @property address `http://` address with port at which the instance accepts requests.
 * @property peerAddress `host:port` of the peer protocol; only entries and stewards have one.
 * @property isLeaving whether the instance has announced that it will stop.
 * @property versions the model versions that a runner has loaded.
 * @property service the service that a service instance belongs to.
 * @property start the start number of an entry or steward.
 * @property slots number of requests that a runner batches at a time.
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

/** The incarnation that runs on the instance; `null` if the list does not give its start number. */
public val ListedInstance.incarnation: Incarnation? get() = start?.let { Incarnation(id, it) }
