package io.quetzalfield.operator

import arrow.core.getOrElse
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.listsDifferences
import io.quetzalfield.support.SettingsError

/** Shows how the two files differ from the stored lists. */
internal class DiffCommand(connector: PlatformConnector) :
    OperatorCommand("diff", "Show what applying the lists would change") {
    private val lists by ListsOptions()
    private val platform by PlatformOptions(connector)

    override fun run() {
        val stored = ListsStore(platform.connect().store).read()
            .getOrElse { fail(ExitCode.PLATFORM_SILENT, listOf(it.message)) }
        val next = lists.files.load(stored.nextRevision)
            .getOrElse { errors -> fail(ExitCode.LISTS_REFUSED, errors.map(SettingsError::toString)) }
        val storedRevision = stored.lists?.revision ?: ListsRevision.None
        val result = DifferenceReport(storedRevision, listsDifferences(stored.lists, next))
        report(DifferenceReport.serializer(), result) { report ->
            report.differences.toLines().ifEmpty { listOf("the files are as revision $storedRevision") }
        }
    }
}
