package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ServiceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class RetryAllowanceTest {
    private val service = ServiceId("bookings")
    private val bounds = RetryBounds(ratio = 0.5, slack = 20.0, window = 10.seconds)

    private fun RetryAllowance.spendAll(): Int = generateSequence { trySpend(service) }.takeWhile { it }.count()

    @Test
    fun `all members together stay within the slack`() {
        val timeSource = TestTimeSource()
        val spent = (1..4).sumOf { RetryAllowance(bounds, timeSource) { 4 }.spendAll() }
        assertTrue(spent <= bounds.slack, "spent $spent")
    }

    @Test
    fun `requests allow repeats, and both expire with the window`() {
        val timeSource = TestTimeSource()
        val allowance = RetryAllowance(bounds, timeSource) { 1 }
        val slackOnly = allowance.spendAll()
        repeat(100) { allowance.countRequest(service) }
        assertEquals(40, allowance.spendAll())
        timeSource += bounds.window + 1.milliseconds
        assertEquals(slackOnly, allowance.spendAll())
    }

    @Test
    fun `a repeat that was given back may be spent again, once`() {
        val allowance = RetryAllowance(bounds, TestTimeSource()) { 1 }
        allowance.spendAll()
        allowance.giveBack(service)
        assertEquals(1, allowance.spendAll())
    }

    @Test
    fun `the rate at all instances is estimated from the requests of one, also soon after the first`() {
        val timeSource = TestTimeSource()
        val allowance = RetryAllowance(bounds, timeSource) { 4 }
        assertEquals(0.0, allowance.requestsPerSecond(service))
        repeat(40) {
            allowance.countRequest(service)
            timeSource += 100.milliseconds
        }
        assertEquals(40.0, allowance.requestsPerSecond(service), absoluteTolerance = 0.5)
        repeat(400) {
            allowance.countRequest(service)
            timeSource += 50.milliseconds
        }
        assertEquals(80.0, allowance.requestsPerSecond(service), absoluteTolerance = 1.0)
    }

    /** Load pattern: all instances are restarted in turn, twice within a window, while every request fails. */
    @Test
    fun `processes that do not know what was spent before them stay within the slack together with those`() {
        val timeSource = TestTimeSource()
        val wide = bounds.copy(slack = 400.0)
        val before = (1..4).sumOf { RetryAllowance(wide, timeSource) { 4 }.spendAll() }
        val after = (1..8).sumOf {
            RetryAllowance(wide, timeSource) { 4 }.apply(RetryAllowance::beginWithoutHistory).spendAll()
        }
        assertEquals(320, before)
        assertEquals(80, after)
    }

    @Test
    fun `a process that does not know what was spent before it may spend its whole part after one window`() {
        val timeSource = TestTimeSource()
        val allowance = RetryAllowance(bounds, timeSource) { 1 }.apply(RetryAllowance::beginWithoutHistory)
        assertEquals(2, allowance.spendAll())
        timeSource += bounds.window + 1.milliseconds
        assertEquals(16, allowance.spendAll())
    }

    /** Load pattern: every request for a service fails, and the router tries to send each again. */
    @Test
    fun `repeats exceed the bound in no window while everything fails`() {
        val timeSource = TestTimeSource()
        val allowance = RetryAllowance(bounds, timeSource) { 1 }
        val repeats = mutableListOf<Int>()
        repeat(60) {
            repeat(10) { allowance.countRequest(service) }
            repeats += (1..10).count { allowance.trySpend(service) }
            timeSource += 1.seconds
        }
        val most = repeats.windowed(10).maxOf(List<Int>::sum)
        assertTrue(most <= bounds.ratio * 100 + bounds.slack, "$most repeats in a window")
    }
}
