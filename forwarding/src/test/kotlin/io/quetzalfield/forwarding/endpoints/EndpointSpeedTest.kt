package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import org.junit.jupiter.api.Nested
import kotlin.math.ln
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TestTimeSource

class EndpointSpeedTest {
    private val timeSource = TestTimeSource()
    private val speed = EndpointSpeed()
    private val slowness get() = speed.slownessAt(timeSource.markNow())

    private fun record(vararg ratios: Double) = ratios.forEach { ratio ->
        timeSource += 10.milliseconds
        speed.record(ratio, timeSource.markNow())
    }

    @Nested
    inner class OwnAnswers {
        @Test
        fun `a new endpoint has the mean speed of its service`() = assertEquals(1.0, slowness)

        @Test
        fun `one answer shows little, many show the speed`() {
            record(1.7)
            assertTrue(slowness < 1.3, "$slowness")
            record(*DoubleArray(40) { 1.7 })
            assertEquals(1.7, slowness, absoluteTolerance = 0.1)
        }

        @Test
        fun `single answers that are far too late change little`() {
            record(*DoubleArray(40) { if (it % 20 == 0) 500.0 else 1.0 })
            assertTrue(slowness < 1.1, "$slowness")
        }

        @Test
        fun `what was learnt is forgotten with time, and when the endpoint restarts`() {
            record(*DoubleArray(40) { 1.7 })
            timeSource += 5.minutes
            assertEquals(1.0, slowness)
            record(*DoubleArray(40) { 1.7 })
            speed.clear()
            assertEquals(1.0, slowness)
        }
    }

    /** Load pattern: with many instances, each of them sees an answer of an endpoint only every few seconds. */
    @Nested
    inner class AnswersOfOtherInstances {
        private val peer = Incarnation(InstanceId("front-2"), "start")

        private fun hear(ratio: Double, answers: Double) =
            speed.update(peer, SpeedSample(ln(ratio), answers), timeSource.markNow())

        @Test
        fun `they count like own ones, by their number`() {
            hear(ratio = 1.7, answers = 38.0)
            assertEquals(1.66, slowness, absoluteTolerance = 0.01)
        }

        @Test
        fun `the last report of an instance counts`() {
            repeat(10) { hear(ratio = 1.7, answers = 10.0) }
            hear(ratio = 1.0, answers = 10.0)
            assertEquals(1.0, slowness)
        }

        @Test
        fun `they are passed on only where that is asked for`() {
            hear(ratio = 1.7, answers = 10.0)
            assertNull(speed.learnt(timeSource.markNow()))
            assertEquals(10.0, speed.learnt(timeSource.markNow()) { it == peer }?.weight)
        }

        @Test
        fun `values that make no sense are ignored or bounded`() {
            hear(ratio = Double.NaN, answers = 10.0)
            hear(ratio = 1.7, answers = -1.0)
            hear(ratio = 1.7, answers = Double.POSITIVE_INFINITY)
            assertEquals(1.0, slowness)
            hear(ratio = 1_000.0, answers = 1_000.0)
            assertEquals(4.0, slowness, absoluteTolerance = 0.1)
        }
    }
}
