package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WorkReportTest {
    private val report = WorkReport()
    private val composer = WorkMessageComposer(Incarnation(InstanceId("front-1"), "start"))
    private val endpoints = List(90) { Endpoint(description("runner-$it", port = it + 1)) }

    private fun changes() = report.changes(endpoints)

    @Test
    fun `only changes are reported, and an end once`() {
        endpoints[3].inFlight = 2
        endpoints[3].unreadTokens = 70
        assertEquals(listOf(EndpointWork("runner-3", running = 2, unreadTokens = 70)), changes())
        assertEquals(emptyList(), changes())
        endpoints[3].inFlight = 0
        endpoints[3].unreadTokens = 0
        assertEquals(listOf(EndpointWork("runner-3", running = 0, unreadTokens = 0)), changes())
        assertEquals(emptyList(), changes())
    }

    @Test
    fun `a refresh reports everything, in messages that a link carries unfragmented`() {
        endpoints.forEach { it.inFlight = 64 }
        changes()
        val messages = composer.compose(report.all(endpoints), WorkScope.OWN)
        assertEquals(90, messages.flatMap(WorkMessage::work).size)
        assertTrue(messages.all { it.encode().size < 1_400 }, "${messages.map { it.encode().size }}")
        assertEquals(messages.map(WorkMessage::number), messages.map(WorkMessage::number).sorted().distinct())
    }

    @Test
    fun `a refresh also reports work that has ended since the last message`() {
        endpoints[3].inFlight = 1
        changes()
        endpoints[3].inFlight = 0
        val refreshed = report.all(endpoints)
        assertEquals(listOf(EndpointWork("runner-3", running = 0, unreadTokens = 0)), refreshed)
        assertEquals(emptyList(), changes())
    }

    @Test
    fun `a decoded message equals the encoded one`() {
        endpoints[1].inFlight = 1
        val message = composer.compose(report.changes(endpoints), WorkScope.GROUP).single()
        assertEquals(message, WorkMessage.decode(message.encode()))
    }
}
