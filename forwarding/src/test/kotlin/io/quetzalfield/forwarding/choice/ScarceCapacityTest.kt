package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ServiceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Load pattern: one account begins to send twenty requests a second, first beside idle endpoints, then busy ones. */
class ScarceCapacityTest {
    private val timeSource = TestTimeSource()
    private val scarce = ScarceCapacity(timeSource)
    private val service = ServiceId("advisor")
    private val account = ClientAccountId("account-1")

    /** Returns how many of the requests in two seconds are demoted while [reading] of ten endpoints read. */
    private fun demoted(reading: Int): Int {
        val end = timeSource.markNow() + 2.seconds
        var count = 0
        while (end.hasNotPassedNow()) {
            scarce.occupancy(service, inSlots = 0.1, reading, endpoints = 10)
            if (scarce.isDemoted(account, service)) count++
            timeSource += 50.milliseconds
        }
        return count
    }

    private fun useAsUsual() = repeat(20) {
        scarce.isDemoted(account, service)
        timeSource += 1.seconds
    }

    @Test
    fun `its requests are demoted while endpoints are busy, and not while they have time`() {
        useAsUsual()
        assertEquals(0, demoted(reading = 3))
        assertTrue(demoted(reading = 10) > 10)
    }

    @Test
    fun `endpoints that read all the time count as full, though their slots are free`() {
        demoted(reading = 10)
        assertEquals(1.0, scarce.occupancy(service, inSlots = 0.1, reading = 10, endpoints = 10))
    }

    @Test
    fun `slots that are taken count as before`() {
        assertEquals(0.7, scarce.occupancy(service, inSlots = 0.7, reading = 0, endpoints = 10))
    }
}
