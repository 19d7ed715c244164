package io.quetzalfield.operator

import arrow.core.getOrElse
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path

private const val EXIT_BROKEN = 1
private const val EXIT_UNREADABLE = 2

/** `quetzalfield explain --check HISTORY`: says which promises a recorded history keeps. */
internal class ExplainCommand : CliktCommand("explain") {
    private val historyFile by option("--check", help = "recorded history to check").path().required()

    override fun run() {
        val report = HistoryCheck.check(historyFile).getOrElse { problem ->
            echo(problem, err = true)
            throw ProgramResult(EXIT_UNREADABLE)
        }
        report.lines.forEach { echo(it) }
        if (!report.isRight) throw ProgramResult(EXIT_BROKEN)
    }
}
