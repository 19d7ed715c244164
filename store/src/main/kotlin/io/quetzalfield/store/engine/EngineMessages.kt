package io.quetzalfield.store.engine

import io.quetzalfield.model.ModelVersionReference
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The load that an engine reports. Reports are delayed.
 *
 * @property running requests in the current batch.
 * @property waiting requests that wait for a place in the batch.
 * @property canResume whether the engine can continue an answer at an offset, including one that another engine of the
 * same version began.
 * @property start a value that differs between starts of the engine; `null` if the engine reports none.
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
 * One change of an engine's prefix cache. Events arrive late and with gaps in [sequence].
 *
 * @property isStored `true` if the prefix was added to the cache, `false` if it was evicted.
 */
@Serializable
public data class EngineCacheEvent(
    val sequence: Long,
    @SerialName("prefix_hash") val prefixHash: Long,
    @SerialName("is_stored") val isStored: Boolean,
)

/**
 * An order that lists the versions an engine should have loaded.
 *
 * @property fencingNumber fencing number of the duty under which the order is given.
 */
@Serializable
public data class EngineOrder(
    @SerialName("fencing_number") val fencingNumber: Long,
    val versions: List<ModelVersionReference>,
)

/** Why an engine refused a request before running it. */
@Serializable
public data class EngineRefusal(val code: EngineRefusalCode, val message: String)

/** Reasons for an engine's refusal. */
@Serializable
public enum class EngineRefusalCode { LEAVING, OVERLOADED, VERSION_NOT_LOADED, OLD_FENCING_NUMBER, MALFORMED }
