package io.quetzalfield.operator

import arrow.core.Either
import arrow.core.getOrElse
import com.charleskorn.kaml.Yaml
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelList
import io.quetzalfield.store.KeyValueError
import kotlinx.serialization.Serializable
import java.nio.file.Files
import java.nio.file.Path

/**
 * The result of `show`: the stored revision, and the revision in force at each live entry.
 *
 * @property storedRevision `null` when the key-value service did not answer.
 */
@Serializable
private data class ShowReport(val storedRevision: ListsRevision?, val entries: List<EntryRevision>)

/** Shows which revisions are stored and in force, and exports the stored lists to files for editing. */
internal class ShowCommand(connector: PlatformConnector) :
    OperatorCommand("show", "Show the stored revision of the lists and the revision in force at each live entry") {
    private val platform by PlatformOptions(connector)
    private val export by option("--export", help = "Directory to write the stored lists to, including secrets")
        .path(mustExist = true, canBeFile = false)

    override fun run() {
        val connection = platform.connect()
        val stored = ListsStore(connection.store).read()
        export?.let { directory -> export(stored, directory) }
        val entries = connection.entryRevisions()
            ?: fail(ExitCode.PLATFORM_SILENT, listOf("the platform's list of instances is not available"))
        val revision = stored.getOrNull()?.let { it.lists?.revision ?: ListsRevision.None }
        report(ShowReport.serializer(), ShowReport(revision, entries)) { report ->
            listOf(storedLine(report.storedRevision)) + report.entries.map { "$it" }
        }
    }

    private fun export(stored: Either<KeyValueError, StoredLists>, directory: Path) {
        val lists = stored.getOrElse { fail(ExitCode.PLATFORM_SILENT, listOf(it.message)) }.lists ?: return
        val plans = Yaml.default.encodeToString(ClientPlanList.serializer(), lists.plans)
        val models = Yaml.default.encodeToString(ModelList.serializer(), lists.models)
        Files.writeString(directory.resolve("plans.yaml"), plans)
        Files.writeString(directory.resolve("models.yaml"), models)
    }
}
