package io.quetzalfield.operator

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.quetzalfield.history.History
import io.quetzalfield.history.Verdict
import io.quetzalfield.history.checkAll
import io.quetzalfield.history.decodeHistory
import kotlinx.serialization.Serializable
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * The result of all checkers on a recorded history.
 *
 * @property lines one line for each promise, and one for each violation.
 * @property isRight whether no promise is broken and at least one was checked.
 */
@Serializable
public data class HistoryCheckReport(val lines: List<String>, val isRight: Boolean)

/** Runs all checkers on a recorded history, for `quetzalfield explain --check HISTORY`. */
public object HistoryCheck {
    /** Checks the history in [file]; the error names the file and, for a malformed history, the line and key. */
    public fun check(file: Path): Either<String, HistoryCheckReport> =
        read(file).flatMap { text -> decodeHistory(text).mapLeft { "$file: $it" } }.map(::report)

    private fun read(file: Path): Either<String, String> = try {
        Files.readString(file).right()
    } catch (error: IOException) {
        "$file cannot be read: $error".left()
    }

    private fun report(history: History): HistoryCheckReport {
        val verdicts = checkAll(history)
        val isRight = verdicts.none { it is Verdict.Broken } && verdicts.any { it is Verdict.Holds }
        return HistoryCheckReport(verdicts.flatMap(::describe), isRight)
    }

    private fun describe(verdict: Verdict): List<String> = when (verdict) {
        is Verdict.Holds -> listOf("holds in ${verdict.checkedCases} cases: ${verdict.promise.statement}")
        is Verdict.NothingToCheck -> listOf("nothing to check: ${verdict.promise.statement}")
        is Verdict.Broken -> listOf("broken: ${verdict.promise.statement}") + verdict.violations.map { "  $it" }
    }
}
