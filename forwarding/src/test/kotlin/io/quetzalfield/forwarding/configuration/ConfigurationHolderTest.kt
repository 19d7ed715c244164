package io.quetzalfield.forwarding.configuration

import io.quetzalfield.store.StoreRevision
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant
import kotlin.time.TestTimeSource

private val Bound = 4.seconds

class ConfigurationHolderTest {
    private val timeSource = TestTimeSource()
    private var timeOfDay = Instant.fromEpochSeconds(1_000_000)
    private val clock = object : Clock {
        override fun now(): Instant = timeOfDay
    }
    private val holder = ConfigurationHolder(timeSource, clock)

    private fun pass(duration: Duration) {
        timeSource += duration
        timeOfDay += duration
    }

    private fun configuration(revision: Long) = RoutingConfiguration(
        StoreRevision(revision),
        version = revision,
        routes = emptyList(),
        services = emptyList(),
        limits = CallerLimits(),
        accounts = emptyMap(),
    )

    @Nested
    inner class Adopting {
        @Test
        fun `a lower or equal revision never replaces a higher one`() {
            val newest = configuration(7)
            assertTrue(holder.adopt(newest))
            assertFalse(holder.adopt(configuration(6)))
            assertFalse(holder.adopt(configuration(7)))
            assertEquals(newest, holder.current)
        }
    }

    @Nested
    inner class Confirming {
        @Test
        fun `before the first confirmation there is no age`() {
            assertNull(holder.age())
            assertFalse(holder.isConfirmedWithin(Bound))
        }

        @Test
        fun `the age counts from the sending of the call`() {
            holder.confirm(timeSource.markNow(), timeOfDay)
            pass(3.seconds)
            assertEquals(3.seconds, holder.age())
            pass(1_001.milliseconds)
            assertFalse(holder.isConfirmedWithin(Bound))
        }

        @Test
        fun `an older confirmation that arrives late changes nothing`() {
            val old = timeSource.markNow()
            val oldTime = timeOfDay
            pass(2.seconds)
            holder.confirm(timeSource.markNow(), timeOfDay)
            holder.confirm(old, oldTime)
            assertEquals(Duration.ZERO, holder.age())
        }

        @Test
        fun `a pause that only the time of day counts makes the confirmation old`() {
            holder.confirm(timeSource.markNow(), timeOfDay)
            timeOfDay += 6.seconds
            assertFalse(holder.isConfirmedWithin(Bound))
        }

        @Test
        fun `a step back of the time of day does not make it young`() {
            holder.confirm(timeSource.markNow(), timeOfDay)
            pass(6.seconds)
            timeOfDay -= 30.seconds
            assertFalse(holder.isConfirmedWithin(Bound))
        }
    }
}
