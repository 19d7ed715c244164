package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.TestTimeSource

class SpeedReportsTest {
    private val timeSource = TestTimeSource()
    private val peer = Incarnation(InstanceId("front-2"), "start")

    private fun directory(start: Long) =
        EndpointDirectory(timeSource).also { it.update(description("runner-1", start = start)) }

    private fun slowness(directory: EndpointDirectory) =
        checkNotNull(directory.find(EndpointId("runner-1"))).speed.slownessAt(timeSource.markNow())

    private fun reports(answers: Int): List<SpeedReport> {
        val directory = directory(start = 1)
        val speed = checkNotNull(directory.find(EndpointId("runner-1"))).speed
        repeat(answers) { speed.record(1.7, timeSource.markNow()) }
        return SpeedReports(directory).of { it.speed.learnt(timeSource.markNow()) }
    }

    @Test
    fun `an endpoint without answers is not reported`() = assertTrue(reports(answers = 0).isEmpty())

    @Test
    fun `another instance takes what was learnt`() {
        val report = reports(answers = 38).single()
        assertEquals(SpeedReport("runner-1", start = 1, slownessPercent = 170, answers = 38), report)
        val other = directory(start = 1)
        SpeedReports(other).take(peer, report, timeSource.markNow())
        assertEquals(1.66, slowness(other), absoluteTolerance = 0.01)
    }

    @Test
    fun `a report of an earlier start, or without sense, is ignored`() {
        val other = directory(start = 2)
        SpeedReports(other).take(peer, reports(answers = 38).single(), timeSource.markNow())
        SpeedReports(other).take(peer, SpeedReport("runner-1", start = 2, 0, answers = 38), timeSource.markNow())
        SpeedReports(other).take(peer, SpeedReport("runner-9", start = 2, 170, answers = 38), timeSource.markNow())
        assertEquals(1.0, slowness(other))
    }
}
