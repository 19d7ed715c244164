package io.quetzalfield.forwarding.relay

import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.StoreRevision
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RelayGroupsTest {
    private fun member(number: Int, domain: String, joined: Int = number) = ListedMember(
        MemberRecord(
            Incarnation(InstanceId("front-$number"), "start"),
            "10.0.0.$number:80",
            domain,
            "10.0.0.$number:90",
        ),
        StoreRevision(joined.toLong()),
    )

    private fun RelayGroups.relays(member: ListedMember) =
        relaysFor(member.record.incarnation).map { it.incarnation.instance.value.removePrefix("front-").toInt() }

    @Nested
    inner class LargeDomains {
        private val members = listOf("a", "b", "c").flatMapIndexed { index, domain ->
            (1..4).map { member(number = index * 10 + it, domain) }
        }
        private val groups = RelayGroups(members.shuffled(Random(1)))

        @Test
        fun `the relays of a member are the members of its domain that joined before it`() {
            assertEquals(listOf(11, 12), groups.relays(members[6]))
        }

        @Test
        fun `the relays of the first member of a domain are the first members of the domains that joined before it`() {
            assertEquals(listOf(1, 11), groups.relays(members[8]))
        }

        @Test
        fun `exactly one instance has no relay`() {
            assertEquals(listOf(1), members.filter { groups.relays(it).isEmpty() }.map { it.joined.value.toInt() })
        }

        @Test
        fun `a joining member does not change the relays of the others`() {
            val more = RelayGroups(members + member(number = 40, domain = "a"))
            members.forEach { assertEquals(groups.relays(it), more.relays(it)) }
        }
    }

    @Nested
    inner class SmallDomains {
        @Test
        fun `the members of all small domains form one group`() {
            val members = listOf("a", "a", "b", "c", "d").mapIndexed { index, domain -> member(index + 1, domain) }
            val groups = RelayGroups(members)
            assertEquals(listOf(1, 2, 3, 4), groups.relays(members[4]))
        }

        @Test
        fun `an instance that is not listed has no relays`() {
            assertEquals(emptyList(), RelayGroups(listOf(member(1, "a"))).relays(member(2, "a")))
        }
    }

    @Test
    fun `all relays of an instance joined before it`() {
        repeat(200) { seed ->
            val random = Random(seed)
            val members = List(random.nextInt(1, 40)) {
                member(it, domain = "domain-${random.nextInt(5)}", joined = random.nextInt(1, 1_000) * 50 + it)
            }
            val groups = RelayGroups(members)
            val joined = members.associate { it.record.incarnation to it.joined }
            for (member in members) {
                val relays = groups.relaysFor(member.record.incarnation)
                assertTrue(relays.all { joined.getValue(it.incarnation) < member.joined }, "seed $seed, $member")
            }
        }
    }
}
