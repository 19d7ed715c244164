package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.endpoints.SendPart
import io.quetzalfield.model.InstanceId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Load pattern: every instance always has a request for an endpoint that names fewer than there are instances. */
class LimitDivisionTest {
    private val time = TestTimeSource()
    private val endpoint = EndpointId("runner-1")

    private fun instancesOf(count: Int) = (1..count).mapTo(LinkedHashSet()) { InstanceId("front-$it") }

    /** Gives every instance an equal part; the variant that was rejected. */
    private object EqualDivision : LimitDivision {
        override fun partOf(endpoint: EndpointId, requestsPerSecond: Double, sharers: LimitSharers) =
            requestsPerSecond / sharers.all.size
    }

    /** Sends at all instances whenever [division] allows it, for a minute; returns the times of all sends. */
    private fun sends(count: Int, perSecond: Double, division: () -> LimitDivision): List<ComparableTimeMark> {
        val instances = instancesOf(count)
        val parts = instances.map { Triple(LimitSharers(it, instances), division(), SendPart()) }
        parts.forEach { (_, _, part) -> part.empty(time.markNow()) }
        val sends = mutableListOf<ComparableTimeMark>()
        repeat(60_000 / STEP_MILLISECONDS) {
            time += STEP_MILLISECONDS.milliseconds
            val now = time.markNow()
            for ((sharers, own, part) in parts) {
                if (!part.allows(now, own.partOf(endpoint, perSecond, sharers))) continue
                part.recordSend(now)
                sends += now
            }
        }
        return sends
    }

    private fun mostWithinWindow(sends: List<ComparableTimeMark>): Int =
        sends.indices.maxOfOrNull { first -> sends.drop(first).takeWhile { it - sends[first] < 4.seconds }.size } ?: 0

    @ParameterizedTest
    @CsvSource(
        "4, 0.5", "4, 1", "4, 5", "4, 50", "26, 0.5", "26, 1", "26, 5", "26, 50",
        "38, 0.5", "38, 1", "38, 5", "38, 50", "100, 0.5", "100, 1", "100, 5", "100, 50",
    )
    fun `the instances together send what the limit allows, and not much less`(count: Int, perSecond: Double) {
        val sends = sends(count, perSecond, ::HolderDivision)
        val most = mostWithinWindow(sends)
        assertTrue(most <= 6 * perSecond + 5, "$most requests within 4 s")
        assertTrue(sends.size <= 60 * perSecond + 1, "${sends.size} requests in a minute")
        assertTrue(sends.size >= 50 * perSecond, "${sends.size} requests in a minute")
    }

    @Test
    fun `equal parts for all instances exceed a limit below their number`() {
        val most = mostWithinWindow(sends(count = 38, perSecond = 1.0) { EqualDivision })
        assertTrue(most > 11, "$most requests within 4 s")
    }

    @Test
    fun `different endpoints have different holders`() {
        val instances = instancesOf(20)
        val holders = (1..40).flatMap { number ->
            instances.filter {
                HolderDivision().partOf(EndpointId("runner-$number"), 1.0, LimitSharers(it, instances)) > 0
            }
        }
        assertEquals(80, holders.size)
        assertTrue(holders.distinct().size > 15, "${holders.distinct().size} instances hold parts")
    }

    @Test
    fun `an instance that is not one of the sharers has no part`() {
        val sharers = LimitSharers(own = null, all = instancesOf(3))
        assertEquals(0.0, HolderDivision().partOf(endpoint, 50.0, sharers))
    }

    @Test
    fun `the loss of an instance moves the parts of that instance only`() {
        val before = instancesOf(10)
        fun holders(all: Set<InstanceId>) =
            all.filterTo(HashSet()) { HolderDivision().partOf(endpoint, 3.0, LimitSharers(it, all)) > 0 }
        val lost = holders(before).first()
        assertEquals(holders(before) - lost, holders(before - lost).intersect(holders(before)))
        assertEquals(3, holders(before - lost).size)
    }

    private companion object {
        const val STEP_MILLISECONDS = 20
    }
}
