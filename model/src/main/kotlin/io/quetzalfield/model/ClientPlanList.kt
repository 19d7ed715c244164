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
 * Service level promised to the client accounts on a plan.
 *
 * @property qualityTarget share of answers, from 0 to 1, that must pass the rating service.
 * @property priority priority of the plan's requests when runner capacity is scarce.
 * @property firstTokenDeadlineMilliseconds time allowed until the first token, in milliseconds.
 * @property deadlineMilliseconds time allowed for the complete answer, in milliseconds.
 */
@Serializable
public data class Plan(
    val id: PlanId,
    val qualityTarget: Double,
    val priority: RequestPriority = RequestPriority.NORMAL,
    val firstTokenDeadlineMilliseconds: Long = 5_000,
    val deadlineMilliseconds: Long = 120_000,
)

/** Priority of requests when runner capacity is scarce; earlier entries have precedence. */
@Serializable
public enum class RequestPriority { INTERACTIVE, NORMAL, BACKGROUND }

/**
 * A customer on a plan.
 *
 * @property apiKeyHashes lower-case hexadecimal SHA-256 digests of the API keys that belong to the account.
 * @property tokensPerMinute allowance of generated tokens per minute, over all entries.
 * @property weight relative share of scarce capacity, compared with the other accounts of the plan.
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
 * @property secret the secret; at least 32 characters.
 */
@Serializable
public data class SigningKey(val id: String, val secret: String)
