package io.quetzalfield.forwarding.fleet

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Load pattern: instances end or are cut off while the store, which lists them, does not respond. */
class MembersTest {
    private val time = TestTimeSource()
    private val records = (1..4).map { number ->
        MemberRecord(Incarnation(InstanceId("front-$number"), "start"), "10.0.0.$number:80", "a")
    }
    private val members = Members(own = records[0], time).apply {
        replace(records.map(::valueOf))
    }

    private fun valueOf(record: MemberRecord): StoredValue {
        val json = PlatformJson.encodeToString(MemberRecord.serializer(), record)
        return StoredValue(FleetKeys.member(record.incarnation), json, StoreRevision(1), StoreRevision(1))
    }

    private fun list(vararg numbers: Int) = members.replace(numbers.map { valueOf(records[it - 1]) })

    private fun sharers() = members.sharers.all.map { it.value.removePrefix("front-").toInt() }.sorted()

    private fun hear(vararg numbers: Int, isLeaving: Boolean = false) =
        numbers.forEach { members.recordPresence(records[it - 1].incarnation, isLeaving, time.markNow()) }

    private fun given() = members.addresses(includesOwn = true)
        .map { it.substringAfterLast('.').substringBefore(':').toInt() }.sorted()

    @Test
    fun `an instance that announces that it is leaving is not given to callers`() {
        hear(2, 3, 4)
        hear(3, isLeaving = true)
        assertEquals(listOf(1, 2, 4), given())
    }

    @Test
    fun `an instance that has fallen silent is not given to callers until it is heard again`() {
        hear(2, 3, 4)
        time += 2.seconds
        hear(2, 3)
        time += 2.seconds
        assertEquals(listOf(1, 2, 3), given())
        hear(4)
        assertEquals(listOf(1, 2, 3, 4), given())
    }

    /** Load pattern: instances ended while the store was away, and their records outlive them. */
    @Test
    fun `an instance that has never been heard is given to callers for a few seconds only`() {
        val reachable = records.map { it.copy(peerAddress = it.address.replace(":80", ":90")) }
        members.replace(reachable.map(::valueOf))
        hear(2, 3)
        assertEquals(listOf(1, 2, 3, 4), given())
        time += 4.seconds
        hear(2, 3)
        assertEquals(listOf(1, 2, 3), given())
    }

    @Test
    fun `an instance that hears no other gives all that are listed, as it may be cut off itself`() {
        hear(2, 3, 4)
        time += 10.seconds
        assertEquals(listOf(1, 2, 3, 4), given())
    }

    @Test
    fun `instances that were never heard are given to callers`() {
        hear(2)
        assertEquals(listOf(1, 2, 3, 4), given())
    }

    /** Load pattern: all instances are restarted at once while the records of their last start are still listed. */
    @Nested
    inner class Restarted {
        private val next = records.map { record ->
            record.copy(
                incarnation = record.incarnation.copy(start = "next start"),
                peerAddress = "127.0.0.1:${record.address.substringAfterLast('.').substringBefore(':')}",
            )
        }

        private fun laterValueOf(record: MemberRecord) = valueOf(record).copy(created = StoreRevision(9))

        @Test
        fun `an earlier incarnation is no member, as soon as a later one is listed`() {
            members.replace(records.map(::valueOf) + next.drop(1).map(::laterValueOf))
            assertEquals(4, members.count)
            assertEquals(next.drop(1).map { it.incarnation }.toSet(), members.peers.keys)
        }

        @Test
        fun `the own earlier incarnation is no member before this one is listed`() {
            val restarted = Members(own = next[0], time)
            restarted.replace(records.map(::valueOf))
            assertEquals(4, restarted.count)
            assertEquals(
                listOf("10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"),
                restarted.addresses(includesOwn = false).sorted(),
            )
        }

        @Test
        fun `a record that is written anew under another lease changes nothing`() {
            var times = 0
            members.onListed = { times++ }
            val before = members.peers
            members.update(StoreChange(FleetKeys.member(records[1].incarnation), valueOf(records[1])))
            assertEquals(0, times)
            assertEquals(before, members.peers)
        }
    }

    /** Load pattern: instances end, are restarted or lose their leases after they have spent of what all share. */
    @Nested
    inner class Parts {
        /** In BUDGET, each instance took itself for the only one after an outage of the store. */
        @Test
        fun `instances whose leases have lapsed still count`() {
            members.replace(emptyList())
            assertEquals(4, members.partCount)
            assertEquals(1, members.count)
            list(1, 2, 3, 4)
            assertEquals(4, members.partCount)
        }

        @Test
        fun `an instance that has left, or vanished, counts until what it has spent has expired`() {
            hear(3, isLeaving = true)
            list(1, 2)
            time += 15.seconds
            assertEquals(4, members.partCount)
            time += 1.seconds
            assertEquals(2, members.partCount)
        }

        @Test
        fun `an instance that is restarted counts once`() {
            val restarted = records[3].copy(incarnation = Incarnation(InstanceId("front-4"), "next start"))
            members.replace(records.take(3).map(::valueOf) + valueOf(restarted))
            assertEquals(4, members.partCount)
        }

        /** Meanwhile the others may have divided its part among themselves. */
        @Test
        fun `an instance notices each time that it is listed again`() {
            var times = 0
            members.onListed = { times++ }
            list(1, 2, 3, 4)
            assertEquals(0, times)
            list(2, 3, 4)
            list(1, 2, 3, 4)
            list(1, 2, 3, 4)
            assertEquals(1, times)
            members.update(StoreChange(FleetKeys.member(records[0].incarnation), null))
            members.update(StoreChange(FleetKeys.member(records[0].incarnation), valueOf(records[0])))
            assertEquals(2, times)
        }

        @Test
        fun `an instance that has not read the list counts itself`() {
            assertEquals(1, Members(own = records[0], time).partCount)
        }
    }

    /** Load pattern: the leases of instances run out while the store is away, and they join again. */
    @Nested
    inner class LimitSharers {
        @Test
        fun `the listed instances divide limits`() {
            assertEquals(listOf(1, 2, 3, 4), sharers())
            assertEquals("front-1", members.sharers.own?.value)
        }

        @Test
        fun `an instance that vanished keeps its part for a while`() {
            list(1, 2)
            assertEquals(listOf(1, 2, 3, 4), sharers())
            time += 4.9.seconds
            assertEquals(listOf(1, 2, 3, 4), sharers())
            time += 0.2.seconds
            assertEquals(listOf(1, 2), sharers())
        }

        @Test
        fun `the part of an instance that announced its end goes to the others at once`() {
            hear(2, 4)
            hear(3, isLeaving = true)
            list(1, 2, 4)
            assertEquals(listOf(1, 2, 4), sharers())
        }

        @Test
        fun `an instance that is not listed, or is leaving, has no part`() {
            list(2, 3, 4)
            assertNull(members.sharers.own)
            list(1, 2, 3, 4)
            members.isLeaving = true
            assertNull(members.sharers.own)
            assertNull(Members(own = records[0], time).sharers.own)
        }

        @Test
        fun `an instance that hears no other does not take the parts of the others`() {
            hear(2, 3, 4)
            time += 60.seconds
            assertEquals(listOf(1, 2, 3, 4), sharers())
        }
    }
}
