package io.quetzalfield.model

import kotlinx.serialization.Serializable

/** The operators' first list: plans, the client accounts on them, and the keys that sign session tokens. */
@Serializable
public data class ClientPlanList(
    val plans: List<Plan> = emptyList(),
    val accounts: List<ClientAccount> = emptyList(),
    val signingKeys: List<SigningKey> = emptyList(),
)

/**
 * What the client accounts on a plan are promised.
 *
 * @property qualityTarget share of answers, from 0 to 1, that must pass the rating service.
 * @property priority order in which requests are admitted when runners are short.
 * @property firstTokenDeadlineMilliseconds time within which the first token is wanted.
 * @property deadlineMilliseconds time within which the whole answer is wanted.
 */
@Serializable
public data class Plan(
    val id: PlanId,
    val qualityTarget: Double,
    val priority: RequestPriority = RequestPriority.NORMAL,
    val firstTokenDeadlineMilliseconds: Long = 5_000,
    val deadlineMilliseconds: Long = 120_000,
)

/** Order in which requests are admitted when runners are short; earlier entries go first. */
@Serializable
public enum class RequestPriority { INTERACTIVE, NORMAL, BACKGROUND }

/**
 * A customer on a plan.
 *
 * @property apiKeyHashes lower-case hexadecimal SHA-256 digests of the API keys that belong to the account.
 * @property tokensPerMinute the allowance of generated tokens over all entries.
 * @property weight share of scarce capacity in proportion to the other accounts of the plan.
 */
@Serializable
public data class ClientAccount(
    val id: ClientAccountId,
    val plan: PlanId,
    val apiKeyHashes: List<String>,
    val tokensPerMinute: Long,
    val weight: Double = 1.0,
)

/**
 * A key that signs session tokens and tickets. The first key of the list signs, all keys verify.
 *
 * @property secret at least 32 characters.
 */
@Serializable
public data class SigningKey(val id: String, val secret: String)
