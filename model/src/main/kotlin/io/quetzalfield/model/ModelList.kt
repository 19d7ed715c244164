package io.quetzalfield.model

import kotlinx.serialization.Serializable

/** The operators' second list: models with their versions, services, and what each plan may use. */
@Serializable
public data class ModelList(
    val models: List<Model> = emptyList(),
    val services: List<PlainService> = emptyList(),
    val permissions: List<PlanPermission> = emptyList(),
)

/** A model with its versions. */
@Serializable
public data class Model(val id: ModelId, val versions: List<ModelVersion>)

/**
 * One version of a model.
 *
 * @property state work that the version may get.
 * @property costPerThousandTokens cost of a thousand generated tokens, in the operators' currency.
 * @property priorQuality pass rate, from 0 to 1, that is assumed before ratings arrive.
 * @property newSessionShare share, from 0 to 1, of the model's new sessions that a roll-out gives this version;
 * `null` for a version that is not being rolled out.
 */
@Serializable
public data class ModelVersion(
    val id: VersionId,
    val state: VersionState = VersionState.SERVING,
    val costPerThousandTokens: Double,
    val priorQuality: Double,
    val newSessionShare: Double? = null,
)

/** Determines which work a version may get. */
@Serializable
public enum class VersionState {
    /** New sessions, and requests of sessions that already use the version. */
    SERVING,

    /** Only requests of sessions that already use the version. */
    DRAINING,

    /** No new work. Answers that are already running are completed. */
    WITHDRAWN,
}

/**
 * A service to which requests are routed in addition to the models.
 *
 * @property nonIdempotentOperations names of the operations that run at most once.
 */
@Serializable
public data class PlainService(val id: ServiceId, val nonIdempotentOperations: List<String> = emptyList())

/**
 * The versions and services that one plan may use.
 *
 * @property versions the allowed versions.
 * @property services the allowed services.
 */
@Serializable
public data class PlanPermission(
    val plan: PlanId,
    val versions: List<ModelVersionReference>,
    val services: List<ServiceId> = emptyList(),
)
