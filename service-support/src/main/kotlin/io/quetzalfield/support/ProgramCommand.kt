package io.quetzalfield.support

import arrow.core.Either
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Path

/** Exit status for invalid settings. */
public const val EXIT_BAD_SETTINGS: Int = 2

/** The command line that the long-running programs share: `--settings FILE` and `--check`. */
public abstract class ProgramCommand<T>(name: String) : CliktCommand(name) {
    private val settingsFile by option("--settings", help = "YAML file with the settings").path().required()
    private val isCheck by option("--check", help = "Only check the settings").flag()

    /** Reads and checks the settings. */
    protected abstract fun load(file: Path): Either<List<SettingsError>, T>

    /** Starts the program and returns when it has stopped. */
    protected abstract fun serve(settings: T)

    override fun run() {
        when (val loaded = load(settingsFile)) {
            is Either.Left -> {
                loaded.value.forEach { echo("$it", err = true) }
                throw ProgramResult(EXIT_BAD_SETTINGS)
            }

            is Either.Right -> if (isCheck) echo("$settingsFile is valid") else serve(loaded.value)
        }
    }
}
