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
        runs.recordSend()
        assertNull(runs.proof())
    }

    @Test
    fun `a send that was stated not run proves nothing about a later send`() {
        runs.recordSend()
        runs.recordNotRun()
        assertNotNull(runs.proof())
        runs.recordSend()
        assertNull(runs.proof())
    }
}
