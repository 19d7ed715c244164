package io.quetzalfield.decision

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class StoreWritePaceTest {
    @Test
    fun `the period grows when the writers would otherwise exceed 100 writes per second`() {
        val periods = mapOf(1 to 1.seconds, 5 to 1.seconds, 100 to 1.seconds, 200 to 2.seconds, 1_400 to 14.seconds)
        assertEquals(periods, periods.mapValues { (writers, _) -> storeWritePeriod(1.seconds, writers) })
    }
}
