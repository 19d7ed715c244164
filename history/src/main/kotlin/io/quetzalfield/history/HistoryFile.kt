package io.quetzalfield.history

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/**
 * An error in a recorded history.
 *
 * @property line line of the error, from 1.
 * @property key key of the error, `$` for the whole line.
 */
public data class HistoryError(val line: Int, val key: String, val problem: String) {
    override fun toString(): String = "line $line: $key: $problem"
}

private const val WHOLE_LINE = "$"
private const val DISCRIMINATOR = "event"
private const val UNKNOWN_EVENT = "Serializer for subclass"
private val historyJson = Json {
    classDiscriminator = DISCRIMINATOR
    encodeDefaults = true
}
private val keyInMessage = Regex("""unknown key '([^']+)'|at path:? \$\.?(\S+)""")

/** Encodes [history] as JSON lines: the header, then one event per line. */
public fun encodeHistory(history: History): String {
    val header = historyJson.encodeToString(HistoryHeader.serializer(), history.header)
    val lines = history.events.map { historyJson.encodeToString(HistoryEvent.serializer(), it) }
    return (listOf(header) + lines).joinToString("\n", postfix = "\n")
}

/** Decodes the output of [encodeHistory]; an error gives the line and the key. */
public fun decodeHistory(text: String): Either<HistoryError, History> {
    val lines = text.lines().dropLastWhile(String::isBlank)
    val first = lines.firstOrNull() ?: return HistoryError(1, WHOLE_LINE, "the history has no header").left()
    return decodeLine(1, first, HistoryHeader.serializer()).flatMap(::checkHeader).flatMap { header ->
        either { History(header, lines.drop(1).mapIndexed { index, line -> decodeEvent(index + 2, line).bind() }) }
    }
}

private fun decodeEvent(line: Int, text: String): Either<HistoryError, HistoryEvent> =
    decodeLine(line, text, HistoryEvent.serializer())

private fun checkHeader(header: HistoryHeader): Either<HistoryError, HistoryHeader> = when {
    header.format != HISTORY_FORMAT ->
        HistoryError(1, "format", "is '${header.format}'; allowed: $HISTORY_FORMAT").left()

    header.version != HISTORY_VERSION ->
        HistoryError(1, "version", "is ${header.version}; allowed: $HISTORY_VERSION").left()

    header.listsBoundMilliseconds < 0 ->
        HistoryError(1, "lists_bound_milliseconds", "is ${header.listsBoundMilliseconds}; allowed: 0 or more").left()

    header.leavingBoundMilliseconds < 0 ->
        HistoryError(1, "leaving_bound_milliseconds", "is ${header.leavingBoundMilliseconds}; allowed: 0 or more")
            .left()

    header.evacuationBoundMilliseconds < 0 ->
        HistoryError(
            1,
            "evacuation_bound_milliseconds",
            "is ${header.evacuationBoundMilliseconds}; allowed: 0 or more",
        ).left()

    else -> header.right()
}

@OptIn(ExperimentalSerializationApi::class)
private fun <T> decodeLine(line: Int, text: String, serializer: KSerializer<T>): Either<HistoryError, T> = try {
    historyJson.decodeFromString(serializer, text).right()
} catch (error: MissingFieldException) {
    HistoryError(line, error.missingFields.joinToString(), "is missing").left()
} catch (error: SerializationException) {
    val message = error.message.orEmpty().lineSequence().first()
    HistoryError(line, keyOf(message), message).left()
}

private fun keyOf(message: String): String {
    if (UNKNOWN_EVENT in message) return DISCRIMINATOR
    val key = keyInMessage.find(message)?.groupValues?.drop(1)?.firstOrNull(String::isNotEmpty)
    return key ?: WHOLE_LINE
}
