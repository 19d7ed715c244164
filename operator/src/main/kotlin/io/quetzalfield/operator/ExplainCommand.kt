package io.quetzalfield.operator

import arrow.core.getOrElse
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.groups.cooccurring
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.RequestId
import io.quetzalfield.support.status.RequestExplanation
import java.nio.file.Path

/**
 * Explains one request from the records of the entry that handled it, or with `--check` reports which promises a
 * recorded history keeps.
 */
internal class ExplainCommand(connector: PlatformConnector) :
    OperatorCommand("explain", "Explain a request: how it was decided, sent, answered and billed") {
    private val request by argument(help = "Request id, from the header Quetzalfield-Request of its answer").optional()
    private val historyFile by option("--check", help = "Recorded history to check instead").path()
    private val platform by PlatformOptions(connector).cooccurring()

    override fun run() {
        val file = historyFile
        if (file == null) explain() else check(file)
    }

    private fun check(file: Path) {
        val checked = HistoryCheck.check(file).getOrElse { fail(ExitCode.HISTORY_REFUSED, listOf(it)) }
        report(HistoryCheckReport.serializer(), checked, HistoryCheckReport::lines)
        if (!checked.isRight) fail(ExitCode.HISTORY_REFUSED, listOf("$file breaks a promise, or has nothing to check"))
    }

    private fun explain() {
        val id = RequestId(request ?: throw UsageError("REQUEST is missing; allowed: a request id, or --check"))
        val connection = platform?.connect() ?: throw UsageError("--platform is missing; allowed: http://host:port")
        val entries = connection.directory.instances()
            .getOrElse { fail(ExitCode.PLATFORM_SILENT, listOf(it.message)) }
            .filter { it.kind == InstanceKind.ENTRY }
        val answers = entries.associate { it.id to connection.daemons.explanation(it, id) }
        val explanations = answers.values.mapNotNull { it.getOrNull() }
        val silent = answers.mapNotNull { (entry, answer) -> answer.leftOrNull()?.let { "$entry: ${it.message}" } }
        if (explanations.isEmpty()) fail(ExitCode.NOT_FOUND, listOf("no live entry knows request $id") + silent)
        explanations.forEach { report(RequestExplanation.serializer(), it, RequestExplanation::toLines) }
    }
}
