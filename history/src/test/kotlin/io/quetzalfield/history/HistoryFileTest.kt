package io.quetzalfield.history

import arrow.core.Either
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HistoryFileTest {
    private val text = encodeHistory(History(HistoryHeader(), validEvents))
    private val header = text.lines().first()

    @Test
    fun `an encoded history is decoded without change`() {
        val read = assertIs<Either.Right<History>>(decodeHistory(text)).value
        assertEquals(validEvents.sortedBy(HistoryEvent::at), read.events)
    }

    @Test
    fun `each error is located by line and key`() {
        val cases = mapOf(
            "" to (1 to "$"),
            "no json" to (1 to "$"),
            "{}" to (1 to "format, version"),
            header.replace(HISTORY_FORMAT, "other") to (1 to "format"),
            header.replace("\"version\":1", "\"version\":9") to (1 to "version"),
            header.replace("3000", "-1") to (1 to "leaving_bound_milliseconds"),
            header.replace("evacuation_bound_milliseconds\":5000", "evacuation_bound_milliseconds\":-1") to
                (1 to "evacuation_bound_milliseconds"),
            header.replace("\"format\"", "\"color\"") to (1 to "color"),
            "$header\n{\"event\":\"leaving_announced\",\"at\":1}" to (2 to "endpoint"),
            "$header\n{\"event\":\"leaving_announced\",\"at\":\"x\",\"endpoint\":\"r\"}" to (2 to "at"),
            "$header\n{\"event\":\"unheard_of\"}" to (2 to "event"),
        )
        val located = cases.keys.associateWith { text ->
            assertIs<Either.Left<HistoryError>>(decodeHistory(text)).value.let { it.line to it.key }
        }
        assertEquals(cases, located)
    }
}
