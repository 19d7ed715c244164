package io.quetzalfield.forwarding.choice

import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.SessionId
import io.quetzalfield.model.VersionId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class SessionsUnderWayTest {
    private val time = TestTimeSource()
    private val sessions = ActiveSessions(time)
    private val service = ServiceId("advisor")
    private val old = VersionId("v1")
    private val new = VersionId("v2")
    private val session = SessionId("session-1")

    private fun send(version: VersionId, isRepeat: Boolean = false) =
        sessions.requestSent(service, session, version, isRepeat)

    @Test
    fun `the previous version is returned when a session changes its version`() {
        assertNull(send(old))
        assertNull(send(old))
        assertEquals(old, send(new, isRepeat = true))
        assertNull(send(new))
    }

    @Test
    fun `a session is active while it has an open request, and for the longest pause after it`() {
        send(old)
        time += 60.seconds
        assertEquals(listOf(session), sessions.activeOnOtherVersions(service, new))
        assertEquals(emptyList(), sessions.activeOnOtherVersions(service, old))
        sessions.requestEnded(service, session)
        time += ActiveSessions.LongestPause
        assertEquals(listOf(session), sessions.activeOnOtherVersions(service, new))
        time += 1.milliseconds
        assertEquals(emptyList(), sessions.activeOnOtherVersions(service, new))
        assertNull(send(new))
    }

    @Test
    fun `ended sessions are removed from memory`() {
        repeat(1_000) {
            sessions.requestSent(service, SessionId("session-$it"), old, isRepeat = false)
            sessions.requestEnded(service, SessionId("session-$it"))
            time += 1.seconds
        }
        assertEquals(true, sessions.size <= 21, "${sessions.size} sessions are kept")
    }
}
