package io.quetzalfield.operator

import arrow.core.getOrElse
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import io.quetzalfield.model.ListsDifference
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.listsDifferences
import io.quetzalfield.support.SettingsError
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The result of `apply`.
 *
 * @property isWritten whether new lists were written; `false` when the files equal the stored lists.
 * @property entries revision in force at each live entry when the wait ended.
 * @property isInForce whether the revision is in force at all live entries.
 */
@Serializable
public data class ApplyReport(
    val revision: ListsRevision,
    val isWritten: Boolean,
    val differences: List<ListsDifference>,
    val entries: List<EntryRevision>,
    val isInForce: Boolean,
)

/** Writes the lists and waits until they are in force at all live entries. */
internal class ApplyCommand(connector: PlatformConnector) :
    OperatorCommand("apply", "Write the lists, and wait until they are in force at all live entries") {
    private val lists by ListsOptions()
    private val platform by PlatformOptions(connector)
    private val base by option("--base", help = "Revision that the files are based on; refuse if another is stored")
        .long()
    private val timeout: Duration by option(
        "--timeout",
        help = "Longest wait for the store and then for the entries, such as 500ms or 10s; default 10s",
    )
        .convert {
            readDuration(it)
                ?: fail("'$it' is not a duration; allowed: a number with a unit, such as 500ms or 10s")
        }
        .default(DEFAULT_TIMEOUT)

    override fun run() {
        val connection = platform.connect()
        val store = ListsStore(connection.store)
        val stored = store.readWithin(timeout).getOrElse { fail(ExitCode.PLATFORM_SILENT, listOf(it.message)) }
        val next = lists.files.load(stored.nextRevision)
            .getOrElse { errors -> fail(ExitCode.LISTS_REFUSED, errors.map(SettingsError::toString)) }
        requireExpectedBase(stored, next)
        val differences = listsDifferences(stored.lists, next)
        if (!isJson) differences.toLines().forEach { echo(it) }
        if (differences.isNotEmpty()) write(store, stored, next)
        awaitInForce(connection, stored, next, differences)
    }

    private fun requireExpectedBase(stored: StoredLists, next: OperatorLists) {
        val storedRevision = stored.lists?.revision ?: ListsRevision.None
        val expected = base ?: return
        if (storedRevision.value == expected) return
        val headline = "the stored lists are at revision $storedRevision, not at $expected; nothing was written. " +
            "Your files would change:"
        fail(ExitCode.CLASH, listOf(headline) + listsDifferences(stored.lists, next).toLines())
    }

    private fun write(store: ListsStore, stored: StoredLists, next: OperatorLists) {
        store.replace(stored, next).onLeft { error ->
            when (error) {
                is ApplyError.Clash -> fail(ExitCode.CLASH, clashMessages(stored, error))

                is ApplyError.StoreFailed ->
                    fail(ExitCode.PLATFORM_SILENT, listOf("nothing was written: ${error.error.message}"))

                is ApplyError.OutcomeUnknown -> fail(ExitCode.PLATFORM_SILENT, listOf(unknownOutcomeMessage(error)))
            }
        }
    }

    private fun clashMessages(stored: StoredLists, clash: ApplyError.Clash): List<String> {
        val headline = "another operator has written revision ${clash.current?.revision}; nothing was written. " +
            "They changed:"
        return listOf(headline) + listsDifferences(stored.lists, clash.current).toLines()
    }

    private fun unknownOutcomeMessage(error: ApplyError.OutcomeUnknown): String =
        "it is unknown whether the lists were written; run 'quetzalfield diff': ${error.message}"

    private fun awaitInForce(
        connection: PlatformConnection,
        stored: StoredLists,
        next: OperatorLists,
        differences: List<ListsDifference>,
    ) {
        val isWritten = differences.isNotEmpty()
        val revision = if (isWritten) next.revision else stored.lists?.revision ?: ListsRevision.None
        if (!isJson) echo(if (isWritten) "revision $revision is written" else "nothing to change at revision $revision")
        val entries = InForceCheck(connection).await(revision, timeout)
            ?: fail(
                ExitCode.NOT_IN_FORCE,
                listOf("the platform's list of instances is not available; see 'quetzalfield show'"),
            )
        val isInForce = entries.all { it.hasReached(revision) }
        report(
            ApplyReport.serializer(),
            ApplyReport(revision, isWritten, differences, entries, isInForce),
            ::inForceLines,
        )
        if (!isInForce) fail(ExitCode.NOT_IN_FORCE, emptyList())
    }

    private fun inForceLines(report: ApplyReport): List<String> = when {
        report.entries.isEmpty() -> listOf("no entry is live yet")

        report.isInForce -> listOf("in force at all ${report.entries.size} live entries")

        else -> listOf("not yet in force at:") +
            report.entries.filterNot { it.hasReached(report.revision) }.map { "  $it" }
    }

    private companion object {
        val DEFAULT_TIMEOUT: Duration = 10.seconds
    }
}
