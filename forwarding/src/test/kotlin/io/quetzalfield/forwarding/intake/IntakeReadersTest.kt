package io.quetzalfield.forwarding.intake

import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private const val BODY = 400_000L

/** Callers that read their answers slowly, beside bodies that wait for memory. */
class IntakeReadersTest {
    private val time = TestTimeSource()
    private val limits = IntakeLimits(
        bodyBytes = 1_600_000,
        fieldBytes = 4_000_000,
        connections = 400,
        queryConnections = 4,
        pause = 1.seconds,
        grace = 3.seconds,
        leastReadRate = 10_000,
    )
    private val budget = IntakeBudget(limits, time)

    private fun reader(bytes: Long): IntakeShare = budget.open().also {
        budget.recordUnread(it, bytes)
        assertEquals(emptyList(), budget.setPending(it, bytes))
        time += 1.milliseconds
    }

    private fun await(): IntakeShare = budget.open().also {
        assertFalse(budget.tryHoldBody(it, BODY))
        budget.await(it, BODY)
    }

    private fun IntakeSettlement.closed() = slowReaders to unread

    @Nested
    inner class SlowReaders {
        private val quick = reader(390_000)
        private val slow = reader(390_000)

        init {
            assertTrue(budget.tryHoldBody(budget.open(), BODY))
            time += limits.grace + 1.seconds
            budget.recordUnread(quick, 370_000)
            budget.recordUnread(slow, 385_000)
        }

        @Test
        fun `are closed while a body waits, and only then`() {
            assertEquals(emptyList<IntakeShare>() to emptyList(), budget.settle().closed())
            val waiting = await()
            val settled = budget.settle()
            assertEquals(listOf(slow) to emptyList(), settled.closed())
            assertEquals(listOf(waiting), settled.resumed)
            assertEquals(0, slow.pendingBytes)
        }

        @Test
        fun `are not closed within the grace of a new answer`() {
            budget.recordUnread(slow, 0)
            budget.recordUnread(slow, 390_000)
            await()
            assertEquals(emptyList<IntakeShare>() to emptyList(), budget.settle().closed())
        }

        @Test
        fun `are not closed in vain, once the body has its memory`() {
            await()
            budget.setPending(quick, 0)
            assertEquals(emptyList<IntakeShare>() to emptyList(), budget.settle().closed())
        }
    }

    @Nested
    inner class ManyReaders {
        @Test
        fun `keep half of the memory, and those left for longest give way first`() {
            val (first, second) = List(3) { reader(450_000) }
            val waiting = mutableListOf<IntakeShare>()
            for (closed in listOf(listOf(first), listOf(second))) {
                waiting += await()
                val settled = budget.settle()
                assertEquals(emptyList<IntakeShare>() to closed, settled.closed())
                assertEquals(listOf(waiting.last()), settled.resumed)
            }
            val refused = await()
            assertEquals(emptyList<IntakeShare>() to emptyList(), budget.settle().closed())
            time += limits.pause
            assertEquals(listOf(refused), budget.settle().refused)
        }
    }

    @Nested
    inner class RandomInterleavings {
        private val readers = ArrayList<IntakeShare>()

        /** New answers come all the time and would take all memory that becomes free; few of them are ever read. */
        @ParameterizedTest
        @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10])
        fun `the budget is never exceeded, no wait goes on and no body starves`(seed: Long) {
            val random = Random(seed)
            var holding: IntakeShare? = null
            repeat(3_000) { step ->
                time += 10.milliseconds
                act(random)
                if (step % 50 == 25) holding = upload()
                val settled = budget.settle()
                close(settled.slowReaders + settled.unread)
                assertEquals(emptyList(), settled.refused, "refused in step $step")
                assertEquals(0, budget.waitingCount, "still waiting in step $step")
                assertTrue(budget.heldBytes <= limits.bodyBytes, "${budget.heldBytes} bytes in step $step")
                if (step % 50 == 45) holding?.let(budget::close)
            }
            close(readers.toList())
            assertEquals(0, budget.heldBytes)
        }

        private fun upload(): IntakeShare = budget.open().also {
            if (!budget.tryHoldBody(it, BODY)) budget.await(it, BODY)
        }

        private fun close(shares: List<IntakeShare>) {
            shares.forEach(budget::close)
            readers -= shares.toSet()
        }

        private fun act(random: Random) {
            if (budget.hasRoomForConnection) readers += budget.open()
            val share = readers.random(random)
            when (random.nextInt(8)) {
                0 -> record(share, 0)
                1 -> record(share, share.pendingBytes * random.nextInt(100) / 100)
                2 -> close(listOf(share))
                else -> record(readers.last(), random.nextLong(BODY))
            }
        }

        private fun record(share: IntakeShare, bytes: Long) {
            budget.recordUnread(share, bytes)
            close(budget.setPending(share, bytes))
        }
    }
}
