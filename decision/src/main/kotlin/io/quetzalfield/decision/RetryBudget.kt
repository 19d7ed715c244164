package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import java.util.concurrent.ConcurrentHashMap

/**
 * Limits retries to a share of the requests of each pool, so that a failing pool is not loaded further by retries.
 * Each first attempt earns [share] of a retry; a retry spends one.
 *
 * @param share retries per request, from 0 to 1.
 * @param reserve retries that a pool may spend before it has earned any, and the most it can save up.
 */
public class RetryBudget(private val share: Double = 0.1, private val reserve: Double = 10.0) {
    private class Balance(var retries: Double)

    private val balances = ConcurrentHashMap<ModelVersionReference, Balance>()

    /** Counts a request's first attempt at the pool of [version]. */
    public fun earn(version: ModelVersionReference) {
        val balance = balanceOf(version)
        synchronized(balance) { balance.retries = (balance.retries + share).coerceAtMost(reserve) }
    }

    /** Spends one retry at the pool of [version]; `false` when the budget does not allow it. */
    public fun trySpend(version: ModelVersionReference): Boolean {
        val balance = balanceOf(version)
        return synchronized(balance) {
            val isAllowed = balance.retries >= 1.0
            if (isAllowed) balance.retries -= 1.0
            isAllowed
        }
    }

    private fun balanceOf(version: ModelVersionReference): Balance =
        balances.computeIfAbsent(version) { Balance(reserve) }
}
