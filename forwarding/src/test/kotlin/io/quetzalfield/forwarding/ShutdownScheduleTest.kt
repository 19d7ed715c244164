package io.quetzalfield.forwarding

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Load pattern: callers use an address for up to three validities, however short the grace is. */
class ShutdownScheduleTest {
    @Test
    fun `requests are taken for as long as callers may use the address`() {
        val schedule = ShutdownSchedule(grace = 8.seconds, addressValidity = 1.seconds)
        assertEquals(2.seconds, schedule.closeIdleAfter)
        assertEquals(2_800.milliseconds, schedule.refuseAfter)
    }

    @Test
    fun `the steps keep their order, and requests that were taken have half of the grace, less the last margin`() {
        for (grace in listOf(500.milliseconds, 1.seconds, 2.seconds, 4.seconds, 8.seconds, 30.seconds)) {
            for (validity in listOf(100.milliseconds, 300.milliseconds, 1.seconds, 2.seconds, 5.seconds)) {
                val schedule = ShutdownSchedule(grace, validity)
                val steps = with(schedule) { listOf(closeIdleAfter, refuseAfter, giveUpAfter, endAfter) }
                val name = "grace $grace, validity $validity: $steps"
                assertTrue(steps.first() >= Duration.ZERO && steps.last() < grace, name)
                assertEquals(steps.sorted(), steps, name)
                assertTrue(schedule.giveUpAfter - schedule.refuseAfter >= grace / 2 - 600.milliseconds, name)
            }
        }
    }
}
