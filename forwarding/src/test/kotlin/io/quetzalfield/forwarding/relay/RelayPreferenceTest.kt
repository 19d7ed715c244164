package io.quetzalfield.forwarding.relay

import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.StoreRevision
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Load pattern: the store turns a third of the instances away, and instances end that stay listed for a while. */
class RelayPreferenceTest {
    private val time = TestTimeSource()

    private fun member(number: Int, start: String = "start", joined: Int = number) = ListedMember(
        MemberRecord(
            incarnation = Incarnation(InstanceId("front-$number"), start),
            address = "10.0.0.$number:80",
            failureDomain = if (number <= 4) "a" else "b",
            peerAddress = "10.0.0.$number:90",
        ),
        StoreRevision(joined.toLong()),
    )

    private val members = (1..8).map { member(it) }

    private fun preferenceOf(number: Int, listed: List<ListedMember> = members) =
        RelayPreference(members[number - 1].record, time).apply { update(listed) }

    private fun RelayPreference.asked(isReadingLost: Boolean = false) =
        target(isReadingLost)?.relay?.incarnation?.instance?.value?.removePrefix("front-")?.toInt()

    @Nested
    inner class TurnedAway {
        @Test
        fun `the first of all asks others, as substitutes, only while its own calls fail`() {
            val first = preferenceOf(1)
            assertNull(first.target(isReadingLost = false))
            assertEquals(RelayTarget(members[1].record, isSubstitute = true), first.target(isReadingLost = true))
        }

        @Test
        fun `each member is tried until one is current`() {
            val first = preferenceOf(1)
            val tried = generateSequence {
                first.target(isReadingLost = true)?.relay?.incarnation?.also(first::recordFailure)
            }.toList()
            assertEquals(members.drop(1).map { it.record.incarnation }, tried)
        }

        @Test
        fun `an instance whose lease has lapsed keeps its relay and may use any other`() {
            val third = preferenceOf(3)
            third.update(members - members[2])
            assertTrue(third.isLapsed)
            assertEquals(1, third.asked())
            assertTrue(third.isRegular(members[7].record.incarnation))
        }

        @Test
        fun `an instance that has not been listed yet asks nobody`() {
            val third = preferenceOf(3, members - members[2])
            assertNull(third.target(isReadingLost = false))
            assertFalse(third.isLapsed)
        }
    }

    @Nested
    inner class Ended {
        @Test
        fun `a relay that fails twice is not asked again while it may be listed`() {
            val third = preferenceOf(3)
            third.recordFailure(members[0].record.incarnation)
            assertEquals(2, third.asked())
            time += RelayPreference.FirstSuspension + 1.milliseconds
            assertEquals(1, third.asked())
            third.recordFailure(members[0].record.incarnation)
            time += 24.seconds
            assertEquals(2, third.asked())
        }

        @Test
        fun `a relay that fails again and again but answers is asked again soon`() {
            val third = preferenceOf(3)
            repeat(3) {
                third.recordFailure(members[0].record.incarnation, hasAnswered = true)
                assertEquals(2, third.asked())
                time += RelayPreference.FirstSuspension + 1.milliseconds
                assertEquals(1, third.asked())
            }
        }

        @Test
        fun `the record of an earlier incarnation is no relay`() {
            val restarted = member(1, start = "next start", joined = 20)
            val third = preferenceOf(3, members + restarted)
            assertEquals(2, third.asked())
            assertFalse(third.isRegular(members[0].record.incarnation))
        }
    }
}
