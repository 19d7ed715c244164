package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ModelId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private const val ENDPOINTS = 28

class ReadingLoadTest {
    private val timeSource = TestTimeSource()
    private val load = ReadingLoad(timeSource)

    /** Records [reading] endpoints that read, every 20 ms for [duration]. */
    private fun read(reading: Int, duration: Duration) {
        val end = timeSource.markNow() + duration
        while (end.hasNotPassedNow()) {
            load.record(reading, ENDPOINTS)
            timeSource += 20.milliseconds
        }
    }

    @Test
    fun `half of the endpoints reading is no load`() {
        read(reading = ENDPOINTS / 2, 5.seconds)
        assertEquals(0.0, load.occupancy)
    }

    @Test
    fun `all endpoints reading is full within two seconds, and over as soon when the burst ends`() {
        read(reading = 5, 5.seconds)
        read(reading = ENDPOINTS, 2.seconds)
        assertEquals(1.0, load.occupancy)
        read(reading = 5, 2.seconds)
        assertEquals(0.0, load.occupancy)
    }

    @Test
    fun `one moment in which all read does not count`() {
        read(reading = 5, 5.seconds)
        load.record(ENDPOINTS, ENDPOINTS)
        assertEquals(0.0, load.occupancy)
    }

    /** Load pattern: a third of the endpoints is evacuated during a burst of long prompts; most slots are free. */
    @Nested
    inner class LargerModels {
        private val models = listOf(ModelId("small"), ModelId("large"))
        private val cascade = ConfidenceCascade(busyThreshold = 0, fullOccupancy = 1.0)

        private fun next(confidence: Int) = cascade.next(
            models,
            models.first(),
            FirstAnswer(confidence, load.occupancy, remaining = 2.seconds, expectedStart = 100.milliseconds),
        )

        @Test
        fun `a larger model is asked while endpoints have time to read`() {
            read(reading = 8, 2.seconds)
            assertEquals(models.last(), next(confidence = 40))
        }

        @Test
        fun `none is asked while all of them read`() {
            read(reading = ENDPOINTS, 2.seconds)
            assertNull(next(confidence = 0))
        }

        @Test
        fun `in between only for the answers of least confidence`() {
            read(reading = ENDPOINTS * 3 / 4, 3.seconds)
            assertNull(next(confidence = 30))
            assertTrue(next(confidence = 5) != null)
        }
    }
}
