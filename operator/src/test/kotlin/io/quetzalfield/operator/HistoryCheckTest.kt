package io.quetzalfield.operator

import arrow.core.Either
import arrow.core.getOrElse
import io.quetzalfield.history.CallerOutcome
import io.quetzalfield.history.History
import io.quetzalfield.history.HistoryEvent
import io.quetzalfield.history.HistoryHeader
import io.quetzalfield.history.HistoryTime
import io.quetzalfield.history.encodeHistory
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createTempFile
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HistoryCheckTest {
    private val file: Path = createTempFile("history").apply { toFile().deleteOnExit() }

    private fun answered(text: String): List<HistoryEvent> = listOf(
        HistoryEvent.RequestSent(
            at = HistoryTime(1),
            request = RequestId("r"),
            account = ClientAccountId("a"),
            entry = Incarnation(InstanceId("entry-1"), "x"),
            key = RequestKey("k"),
            expectedAnswer = "right",
        ),
        HistoryEvent.RequestEnded(HistoryTime(2), RequestId("r"), CallerOutcome.Answered(text)),
    )

    @Test
    fun `a history is right when a promise was checked and none is broken`() {
        val cases = mapOf(answered("right") to true, answered("wrong") to false, emptyList<HistoryEvent>() to false)
        val found = cases.keys.associateWith { events ->
            Files.writeString(file, encodeHistory(History(HistoryHeader(), events)))
            HistoryCheck.check(file).getOrElse { error(it) }.isRight
        }
        assertEquals(cases, found)
    }

    @Test
    fun `an unreadable history is reported with its line`() {
        Files.writeString(file, "no history")
        assertContains(assertIs<Either.Left<String>>(HistoryCheck.check(file)).value, "line 1")
    }
}
