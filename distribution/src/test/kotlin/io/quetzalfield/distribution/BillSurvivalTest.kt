package io.quetzalfield.distribution

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.HttpInstanceDirectory
import io.quetzalfield.store.bills.AccountBill
import io.quetzalfield.store.bills.BILL_CELL_PREFIX
import io.quetzalfield.store.bills.BillCell
import io.quetzalfield.store.bills.CellState
import io.quetzalfield.store.bills.accountBillKey
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.ChatMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class BillSurvivalTest {
    private val account = ClientAccountId("workshop-tampere")

    private fun question(number: Int) = ChatCompletionRequest(
        model = "auto",
        messages = listOf(ChatMessage("user", "Adjust needle $number")),
        stream = true,
        maximumTokens = 4,
    )

    /** Answers billed to the account: those in its folded bill plus those in cells that are not folded yet. */
    private fun SmallFleet.billedAnswers(): Long {
        val cells = store.list(BILL_CELL_PREFIX).getOrNull().orEmpty().map { BillCell.fromJson(it.value) }
        val open = cells.filter { it.state != CellState.FOLDED }.sumOf { it.totals[account]?.answers ?: 0 }
        return open + foldedAnswers()
    }

    private fun SmallFleet.foldedAnswers(): Long =
        store.read(accountBillKey(account)).getOrNull()?.let { AccountBill.fromJson(it.value).totals.answers } ?: 0

    @Test
    fun `bills of a killed entry are folded once, and its keys are not billed again`() {
        SmallFleet().use { fleet ->
            val caller = fleet.caller("entry-1")
            val keys = (1..5).map { "key-$it" }
            val first = keys.mapIndexed { index, key -> caller.complete("workshop-key", question(index), key = key) }
            fleet.processes.kill("entry-1")
            HttpInstanceDirectory(fleet.platform).remove(InstanceId("entry-1"))
            val second = keys.mapIndexed { index, key ->
                fleet.caller("entry-2").complete("workshop-key", question(index), key = key)
            }
            assertEquals(List(5) { null }, first.map { it.error })
            assertTrue(first.all { it.isBilled }, "$first")
            assertFalse(second.any { it.isBilled }, "$second")
            await("all bills are stored", 20.seconds) { fleet.billedAnswers() == 5L }
            await("the bills are folded", 20.seconds) {
                fleet.store.list(BILL_CELL_PREFIX).getOrNull().orEmpty()
                    .any { BillCell.fromJson(it.value).state == CellState.FOLDED }
            }
            assertEquals(5L, fleet.billedAnswers())
        }
    }
}
