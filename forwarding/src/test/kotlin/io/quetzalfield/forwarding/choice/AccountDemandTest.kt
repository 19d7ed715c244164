package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ClientAccountId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Load pattern: 24 accounts, two of them large, at one of 26 instances. */
class AccountDemandTest {
    private val timeSource = TestTimeSource()
    private var demand = AccountDemand(timeSource)
    private val accounts = List(24) { ClientAccountId("account-$it") }
    private val large = accounts.take(2)

    /** Counts the requests of each account, and those that are found to be above the usual. */
    private inner class Traffic(private val random: Random) {
        val all = HashMap<ClientAccountId, Int>()
        val above = HashMap<ClientAccountId, Int>()

        fun run(duration: Duration, factor: (ClientAccountId) -> Double = { 1.0 }) {
            val end = timeSource.markNow() + duration
            while (end.hasNotPassedNow()) {
                timeSource += 10.milliseconds
                for (account in accounts) {
                    val perSecond = (if (account in large) 2.0 else 0.33) * factor(account)
                    if (random.nextDouble() >= perSecond / 100) continue
                    all.merge(account, 1, Int::plus)
                    if (demand.record(account)) above.merge(account, 1, Int::plus)
                }
            }
        }

        fun share(of: Collection<ClientAccountId>) =
            of.sumOf { above[it] ?: 0 }.toDouble() / of.sumOf { all[it] ?: 0 }.coerceAtLeast(1)
    }

    @ParameterizedTest
    @ValueSource(ints = [0, 1, 23])
    fun `most requests of an account that sends seven and a half times its usual are found, and few of the others`(
        index: Int,
    ) {
        // A small account sends so few requests in a burst that one series of them shows little.
        val series = (1..SERIES).map { burstOf(accounts[index], Random(it)) }
        val found = series.map { it.share(listOf(accounts[index])) }.average()
        assertTrue(found > 0.5, "$found found")
        val others = series.map { it.share(accounts - accounts[index]) }
        assertTrue(others.average() < 0.02 && others.max() < 0.05, "$others of the others")
    }

    private fun burstOf(account: ClientAccountId, random: Random): Traffic {
        demand = AccountDemand(timeSource)
        Traffic(random).run(20.seconds)
        return Traffic(random).apply { run(6.seconds) { if (it == account) 7.5 else 1.0 } }
    }

    @Test
    fun `large accounts are not affected, nor a burst of all`() {
        val traffic = Traffic(Random(1))
        traffic.run(20.seconds)
        traffic.run(4.seconds) { 2.2 }
        assertTrue(traffic.share(accounts) < 0.05, "${traffic.share(accounts)} of all requests")
        assertTrue(traffic.share(large) < 0.05)
    }

    @Test
    fun `what an account sends for a minute is its usual`() {
        val usual = Traffic(Random(1))
        usual.run(20.seconds)
        usual.run(60.seconds) { if (it == accounts.last()) 7.5 else 1.0 }
        val later = Traffic(Random(2))
        later.run(20.seconds) { if (it == accounts.last()) 7.5 else 1.0 }
        assertTrue(later.share(listOf(accounts.last())) < 0.05, "${later.share(listOf(accounts.last()))} found")
    }

    /** Load pattern: another instance ends, and callers of accounts that were not known here come from there. */
    @Test
    fun `accounts that come from another instance are not affected`() {
        Traffic(Random(1)).run(20.seconds) { if (it in large) 0.0 else 1.0 }
        val later = Traffic(Random(2))
        later.run(20.seconds) { if (it in large) 3.0 else 1.0 }
        assertTrue(later.share(large) < 0.05, "${later.share(large)} of their requests")
    }

    /** Load pattern: an instance starts while all accounts send. */
    @Test
    fun `accounts are not affected as an instance starts`() {
        val traffic = Traffic(Random(1))
        traffic.run(6.seconds) { 4.0 }
        assertTrue(traffic.share(accounts) < 0.05, "${traffic.share(accounts)} of all requests")
    }

    private companion object {
        const val SERIES = 20
    }
}
