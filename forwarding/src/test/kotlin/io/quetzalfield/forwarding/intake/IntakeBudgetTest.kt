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

private const val LARGE = 400_000L

class IntakeBudgetTest {
    private val time = TestTimeSource()
    private val limits = IntakeLimits(
        bodyBytes = 1_600_000,
        fieldBytes = 400_000,
        connections = 20,
        queryConnections = 4,
        pause = 1.seconds,
        grace = 3.seconds,
        leastRate = 100_000,
    )
    private val budget = IntakeBudget(limits, time)

    private fun holdAll(): List<IntakeShare> = List(3) { budget.open().also { budget.tryHoldBody(it, LARGE) } }

    private fun await(bytes: Long): IntakeShare = budget.open().also {
        assertFalse(budget.tryHoldBody(it, bytes))
        budget.await(it, bytes)
    }

    @Nested
    inner class Bodies {
        @Test
        fun `that fit are held and others wait in order until memory is free`() {
            val holders = holdAll()
            val first = await(LARGE)
            val second = await(LARGE)
            assertEquals(emptyList(), budget.settle().resumed)
            budget.endRequest(holders[0])
            assertEquals(listOf(first), budget.settle().resumed)
            budget.endRequest(holders[1])
            assertEquals(listOf(second), budget.settle().resumed)
        }

        @Test
        fun `that wait too long are refused`() {
            holdAll()
            val waiting = await(LARGE)
            time += 999.milliseconds
            assertEquals(emptyList(), budget.settle().refused)
            time += 1.milliseconds
            assertEquals(listOf(waiting), budget.settle().refused)
            assertEquals(0, budget.waitingCount)
        }

        @Test
        fun `that are small have room beside large ones`() {
            holdAll()
            await(LARGE)
            assertTrue(budget.tryHoldBody(budget.open(), IntakeBudget.SMALL_BODY_BYTES))
        }

        @Test
        fun `that stop lose their memory while another one waits, and only then`() {
            val (stopped, slow, quick) = holdAll()
            time += 4.seconds
            budget.recordArrival(slow, 150_000)
            budget.recordArrival(quick, 390_000)
            assertEquals(emptyList(), budget.settle().stalled)
            await(LARGE)
            assertEquals(listOf(stopped), budget.settle().stalled)
            time += 900.milliseconds
            assertEquals(listOf(stopped, slow), budget.settle().stalled)
        }

        @Test
        fun `that are complete do not count as stopped`() {
            holdAll().forEach(budget::recordComplete)
            time += 10.seconds
            await(LARGE)
            assertEquals(emptyList(), budget.settle().stalled)
        }
    }

    @Nested
    inner class Fields {
        @Test
        fun `of long heads leave room for short ones`() {
            val long = budget.open()
            while (budget.tryHoldField(long, 2)) Unit
            assertTrue(budget.heldFieldBytes <= limits.fieldBytes)
            val short = budget.open()
            repeat(20) { assertTrue(budget.tryHoldField(short, 40)) }
        }
    }

    @Nested
    inner class UnreadAnswers {
        @Test
        fun `that are left for longest are dropped first`() {
            val (first, second, third) = List(3) { budget.open() }
            listOf(first, second, third).forEach {
                assertEquals(emptyList(), budget.setPending(it, 500_000))
                time += 1.milliseconds
            }
            assertEquals(listOf(first), budget.setPending(third, 700_000))
            assertEquals(1_200_000, budget.heldBytes)
        }
    }

    @Nested
    inner class RandomInterleavings {
        /** Callers begin, grow, stop, end and leave at random; some never go on. */
        @ParameterizedTest
        @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10])
        fun `the budget is never exceeded, every wait ends and nothing is held at the end`(seed: Long) {
            val random = Random(seed)
            val open = ArrayList<IntakeShare>()
            val waitingSince = HashMap<IntakeShare, Int>()
            repeat(5_000) { step ->
                time += 20.milliseconds
                act(random, open, waitingSince, step)
                val settled = budget.settle()
                waitingSince -= (settled.resumed + settled.refused).toSet()
                (settled.refused + settled.stalled).forEach { budget.endRequest(it) }
                assertTrue(budget.heldBytes <= limits.bodyBytes, "${budget.heldBytes} bytes in step $step")
                assertTrue(budget.heldFieldBytes <= limits.fieldBytes, "${budget.heldFieldBytes} in step $step")
                assertTrue(waitingSince.values.all { step - it <= 50 }, "a wait lasts on in step $step")
                assertEquals(waitingSince.size, budget.waitingCount)
            }
            open.forEach(budget::close)
            assertEquals(listOf(0L, 0L), listOf(budget.heldBytes, budget.heldFieldBytes))
        }

        private fun holdOrAwait(random: Random, share: IntakeShare): Boolean {
            val bytes = if (random.nextBoolean()) random.nextLong(1, LARGE) else random.nextLong(1, 2_000)
            val isHeld = budget.tryHoldBody(share, bytes)
            if (!isHeld) budget.await(share, bytes)
            return isHeld
        }

        private fun act(
            random: Random,
            open: ArrayList<IntakeShare>,
            waitingSince: HashMap<IntakeShare, Int>,
            step: Int,
        ) {
            if (budget.hasRoomForConnection && random.nextInt(3) == 0) open += budget.open()
            val share = open.randomOrNull(random) ?: return
            if (share in waitingSince) {
                if (random.nextInt(20) > 0) return
                waitingSince -= share
                open -= share
                return budget.close(share)
            }
            when (random.nextInt(6)) {
                0, 1 -> if (!holdOrAwait(random, share)) waitingSince[share] = step

                2 -> budget.recordArrival(share, random.nextInt(50_000))

                3 -> repeat(random.nextInt(200)) { budget.tryHoldField(share, 20) }

                4 -> budget.setPending(share, random.nextLong(LARGE)).also { closed ->
                    closed.forEach(budget::close)
                    open -= closed.toSet()
                    waitingSince -= closed.toSet()
                }

                else -> if (random.nextBoolean()) budget.recordComplete(share) else budget.endRequest(share)
            }
        }
    }

    @Nested
    inner class Limits {
        private val mebibyte = 1024L * 1024

        @Test
        fun `leave room for the usual bodies at the bounds of a small machine`() {
            val bounds = ProcessBounds(176 * mebibyte, 176 * mebibyte, 290 * mebibyte, descriptors = 4_100)
            val small = IntakeBudget(IntakeLimits.of(bounds), time)
            repeat(32) { assertTrue(small.tryHoldBody(small.open(), 4_194_304)) }
            assertTrue(small.heldBytes < bounds.directBytes)
        }

        @Test
        fun `follow the descriptors`() {
            val limits = IntakeLimits.of(ProcessBounds(64 * mebibyte, 32 * mebibyte, descriptors = 400))
            assertEquals(175 to 25, limits.connections to limits.queryConnections)
        }
    }
}
