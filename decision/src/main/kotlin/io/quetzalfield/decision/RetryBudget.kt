package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import java.util.concurrent.ConcurrentHashMap

/**
 * Limits retries to a share of the requests of each pool, so that retries do not overload a failing pool. Each first
 * attempt adds [share] of a retry to the budget of its pool; each retry uses one.
 *
 * @param share retries per request, from 0 to 1.
 * @param reserve initial and maximum number of retries in the budget of a pool.
 */
public class RetryBudget(private val share: Double = 0.1, private val reserve: Double = 10.0) {
    private class Balance(var retries: Double)

    private val balances = ConcurrentHashMap<ModelVersionReference, Balance>()

    /** Adds to the budget for the first attempt of a request at the pool of [version]. */
    public fun recordRequest(version: ModelVersionReference) {
        val balance = balanceOf(version)
        synchronized(balance) { balance.retries = (balance.retries + share).coerceAtMost(reserve) }
    }

    /** Uses one retry at the pool of [version]; returns `false` if the budget does not allow it. */
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
