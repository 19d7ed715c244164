package io.quetzalfield.steward

import arrow.core.Either
import com.github.ajalt.clikt.core.main
import io.quetzalfield.support.ProgramCommand
import io.quetzalfield.support.SettingsError
import io.quetzalfield.support.awaitTermination
import java.nio.file.Path

private class StewardCommand : ProgramCommand<StewardSettings>("quetzalfield-steward") {
    override fun load(file: Path): Either<List<SettingsError>, StewardSettings> = loadStewardSettings(file)

    override fun serve(settings: StewardSettings) {
        awaitTermination(StewardProgram(settings))
    }
}

/** Starts `quetzalfield-steward`. */
public fun main(arguments: Array<String>) {
    StewardCommand().main(arguments)
}
