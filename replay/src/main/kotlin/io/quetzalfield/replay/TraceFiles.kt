package io.quetzalfield.replay

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.bufferedWriter
import kotlin.io.path.useLines

/** Why a trace cannot be replayed. */
public sealed interface TraceError {
    /** A message for the operator. */
    public val message: String

    /** The file cannot be opened or read. */
    public data class UnreadableFile(val path: Path, val cause: String) : TraceError {
        override val message: String get() = "$path cannot be read: $cause"
    }

    /** Line [line], counted from 1, does not conform to the trace format. */
    public data class MalformedLine(val line: Int, val cause: String) : TraceError {
        override val message: String get() = "line $line does not conform to the trace format: $cause"
    }

    /** The value of [key] in line [line], counted from 1, is not allowed. */
    public data class InvalidValue(val line: Int, val key: String, val found: String, val allowed: String) :
        TraceError {
        override val message: String get() = "line $line: $key is $found; allowed: $allowed"
    }
}

private val TraceJson = Json { explicitNulls = false }

/** Writes [trace] to [path], one JSON object per line. */
public fun writeTrace(trace: Trace, path: Path) {
    path.bufferedWriter().use { writer ->
        val lines = sequenceOf<TraceLine>(trace.header) + trace.events
        for (line in lines) writer.appendLine(TraceJson.encodeToString(TraceLine.serializer(), line))
    }
}

/** Reads and validates the trace at [path]. */
public fun readTrace(path: Path): Either<TraceError, Trace> = try {
    path.useLines { lines -> parseTrace(lines) }
} catch (error: IOException) {
    TraceError.UnreadableFile(path, error.toString()).left()
}

/** Parses and validates the [lines] of a trace. */
public fun parseTrace(lines: Sequence<String>): Either<TraceError, Trace> = either {
    val parsed = lines.mapIndexed { index, text -> parseLine(index + 1, text) }.toList()
    val header = parsed.firstOrNull() as? TraceHeader
        ?: raise(TraceError.InvalidValue(1, "type", "not header", "header"))
    val events = parsed.drop(1).mapIndexed { index, line ->
        line as? TraceEvent ?: raise(TraceError.InvalidValue(index + 2, "type", "header", "the type of an event"))
    }
    val trace = Trace(header, events)
    traceFault(trace)?.let { raise(it) }
    trace
}

private fun Raise<TraceError>.parseLine(number: Int, text: String): TraceLine = try {
    TraceJson.decodeFromString(TraceLine.serializer(), text)
} catch (error: SerializationException) {
    raise(TraceError.MalformedLine(number, error.message.orEmpty().lineSequence().first()))
}
