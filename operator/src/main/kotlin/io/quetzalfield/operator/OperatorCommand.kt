package io.quetzalfield.operator

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

private val outputJson = Json { encodeDefaults = true }

/** Base class of the commands, with the help text, the `--json` option, output and failure exits. */
public abstract class OperatorCommand(name: String, private val summary: String) : CliktCommand(name) {
    /** Whether the result is printed as one line of JSON. */
    protected val isJson: Boolean by option("--json", help = "Print the result as one line of JSON").flag()

    override fun help(context: Context): String = summary

    /** Prints [value] as JSON or, without `--json`, the lines of [text]. */
    protected fun <T> report(serializer: KSerializer<T>, value: T, text: (T) -> List<String>) {
        if (isJson) echo(outputJson.encodeToString(serializer, value)) else text(value).forEach { echo(it) }
    }

    /** Prints [messages] to standard error and ends the command with [exit]. */
    protected fun fail(exit: ExitCode, messages: List<String>): Nothing {
        messages.forEach { echo(it, err = true) }
        throw ProgramResult(exit.code)
    }
}
