package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class PeerLoadsTest {
    private val time = TestTimeSource()
    private val loads = PeerLoads(validity = 2.seconds)
    private val peers = (1..3).map { Incarnation(InstanceId("front-$it"), "start") }

    private fun update(peer: Int, running: Int, unreadTokens: Long) =
        loads.update(peers[peer], running, unreadTokens, time.markNow())

    private fun assertLoad(running: Int, unreadTokens: Long) {
        assertEquals(running, loads.runningAt(time.markNow()))
        assertEquals(unreadTokens, loads.unreadTokensAt(time.markNow()))
    }

    @Test
    fun `the loads of several instances are added up`() {
        update(peer = 0, running = 2, unreadTokens = 100)
        update(peer = 1, running = 3, unreadTokens = 0)
        assertLoad(running = 5, unreadTokens = 100)
    }

    @Test
    fun `a report of an instance replaces its previous one`() {
        update(peer = 0, running = 2, unreadTokens = 100)
        update(peer = 0, running = 1, unreadTokens = 0)
        assertLoad(running = 1, unreadTokens = 0)
    }

    @Test
    fun `an instance that has fallen silent no longer counts`() {
        update(peer = 0, running = 2, unreadTokens = 100)
        time += 1_500.milliseconds
        update(peer = 1, running = 1, unreadTokens = 10)
        time += 1.seconds
        assertLoad(running = 1, unreadTokens = 10)
    }
}
