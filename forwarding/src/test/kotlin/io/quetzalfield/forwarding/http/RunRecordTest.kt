package io.quetzalfield.forwarding.http

import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class RunRecordTest {
    private val runs = RunRecord()

    @Test
    fun `a request that was never sent has not run`() {
        assertNotNull(runs.proof())
    }

    @Test
    fun `a request that was sent may have run`() {
        runs.sending()
        assertNull(runs.proof())
    }

    @Test
    fun `each send has to be stated not run`() {
        runs.sending()
        runs.statedNotRun()
        assertNotNull(runs.proof())
        runs.sending()
        assertNull(runs.proof())
    }
}
