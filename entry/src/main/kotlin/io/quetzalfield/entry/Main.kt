package io.quetzalfield.entry

import arrow.core.Either
import com.github.ajalt.clikt.core.main
import io.quetzalfield.support.ProgramCommand
import io.quetzalfield.support.SettingsError
import io.quetzalfield.support.awaitTermination
import java.nio.file.Path

private class EntryCommand : ProgramCommand<EntrySettings>("quetzalfield-entry") {
    override fun load(file: Path): Either<List<SettingsError>, EntrySettings> = loadEntrySettings(file)

    override fun serve(settings: EntrySettings) {
        val program = EntryProgram(settings)
        awaitTermination(program)
    }
}

/** Starts `quetzalfield-entry`. */
public fun main(arguments: Array<String>) {
    EntryCommand().main(arguments)
}
