package io.quetzalfield.forwarding.configuration

import io.quetzalfield.store.StoreEra
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
    private var systemTime = Instant.fromEpochSeconds(1_000_000)
    private val clock = object : Clock {
        override fun now(): Instant = systemTime
    }
    private val holder = ConfigurationHolder(timeSource, clock)

    private fun advance(duration: Duration) {
        timeSource += duration
        systemTime += duration
    }

    private fun configuration(revision: Long) = configuration(StoreRevision(revision), version = revision)

    private fun configuration(revision: StoreRevision, version: Long) = RoutingConfiguration(
        revision,
        version = version,
        routes = emptyList(),
        services = emptyList(),
        limits = CallerLimits(),
        requiresKey = false,
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

        /** In CONFIG, a configuration written after the store was restored had a lower revision and was dropped. */
        @Test
        fun `after the store was restored the newest version is adopted, and never the earlier one of the backup`() {
            val restored = StoreEra(1)
            holder.adopt(configuration(StoreRevision(70), version = 7))
            assertFalse(holder.adopt(configuration(StoreRevision.of(restored, 50), version = 6)))
            assertTrue(holder.adopt(configuration(StoreRevision.of(restored, 55), version = 7)))
            assertTrue(holder.adopt(configuration(StoreRevision.of(restored, 56), version = 8)))
            assertFalse(holder.adopt(configuration(StoreRevision(90), version = 9)))
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
        fun `the age counts from the time at which the call was sent`() {
            holder.confirm(timeSource.markNow(), systemTime)
            advance(3.seconds)
            assertEquals(3.seconds, holder.age())
            advance(1_001.milliseconds)
            assertFalse(holder.isConfirmedWithin(Bound))
        }

        @Test
        fun `an older confirmation that arrives late changes nothing`() {
            val old = timeSource.markNow()
            val oldTime = systemTime
            advance(2.seconds)
            holder.confirm(timeSource.markNow(), systemTime)
            holder.confirm(old, oldTime)
            assertEquals(Duration.ZERO, holder.age())
        }

        @Test
        fun `a pause that only the system clock counts makes the confirmation old`() {
            holder.confirm(timeSource.markNow(), systemTime)
            systemTime += 6.seconds
            assertFalse(holder.isConfirmedWithin(Bound))
        }

        @Test
        fun `a step back of the system clock does not make it young`() {
            holder.confirm(timeSource.markNow(), systemTime)
            advance(6.seconds)
            systemTime -= 30.seconds
            assertFalse(holder.isConfirmedWithin(Bound))
        }
    }
}
