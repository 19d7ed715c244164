package io.quetzalfield.store.engine

import io.quetzalfield.model.ModelVersionReference
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What an engine reports of its load. The report lags.
 *
 * @property running requests in the present batch.
 * @property waiting requests that wait for a place in the batch.
 * @property canResume whether the engine continues an answer at an offset, also one that another engine of the same
 * version began.
 * @property start a number that differs from one start of the engine to the next; `null` when the engine has none.
 */
@Serializable
public data class EngineLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val versions: List<ModelVersionReference>,
    @SerialName("is_leaving") val isLeaving: Boolean = false,
    @SerialName("can_resume") val canResume: Boolean = false,
    val start: String? = null,
)

/**
 * One change of an engine's prefix cache. Events come late and with gaps in [sequence].
 *
 * @property isStored `true` when the prefix came into the cache, `false` when it was evicted.
 */
@Serializable
public data class EngineCacheEvent(
    val sequence: Long,
    @SerialName("prefix_hash") val prefixHash: Long,
    @SerialName("is_stored") val isStored: Boolean,
)

/**
 * An order that states the versions an engine should have loaded.
 *
 * @property fencingNumber number of the lease under which the order is given.
 */
@Serializable
public data class EngineOrder(
    @SerialName("fencing_number") val fencingNumber: Long,
    val versions: List<ModelVersionReference>,
)

/** Why an engine refused a request before it ran. */
@Serializable
public data class EngineRefusal(val code: EngineRefusalCode, val message: String)

/** Reasons for an engine's refusal. */
@Serializable
public enum class EngineRefusalCode { LEAVING, OVERLOADED, VERSION_NOT_LOADED, OLD_FENCING_NUMBER, MALFORMED }
