package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RetryBudgetTest {
    private val version = checkNotNull(ModelVersionReference.parse("advisor@1"))
    private val other = checkNotNull(ModelVersionReference.parse("advisor@2"))

    @Test
    fun `retries stay within their share of the requests`() {
        val budget = RetryBudget(share = 0.1, reserve = 5.0)
        val retries = (1..1_000).count {
            budget.recordRequest(version)
            budget.trySpend(version)
        }
        assertTrue(retries in 100..105, "$retries")
    }

    @Test
    fun `each pool has a separate budget`() {
        val budget = RetryBudget(share = 0.1, reserve = 1.0)
        assertEquals(listOf(true, false), List(2) { budget.trySpend(version) })
        assertTrue(budget.trySpend(other))
    }
}
