package io.quetzalfield.operator

import com.github.ajalt.mordant.rendering.TextColors
import com.github.ajalt.mordant.rendering.TextStyles
import io.quetzalfield.model.ListsRevision
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

private const val INDENT = "  "

/** One line for the revision of the stored lists, and one for that of each daemon. */
internal fun FleetStatus.toRevisionLines(): List<String> = listOf(storedLine(storedRevision)) +
    daemons.filter { it.status == null || it.status.listsRevision != null }.map { daemon ->
        "${daemon.instance}: ${daemon.problem ?: "revision ${daemon.status?.listsRevision}"}"
    }

/** The line that shows the revision of the stored lists; `null` means no answer. */
internal fun storedLine(revision: ListsRevision?): String =
    "stored: ${revision?.let { "revision $it" } ?: "the key-value service does not answer"}"

/** The revisions, the duties and the status of each daemon, indented by nesting depth. */
internal fun FleetStatus.toLines(): List<String> = toRevisionLines() + dutyLines() + daemons.flatMap { it.toLines() }

private fun FleetStatus.dutyLines(): List<String> {
    val holders = duties ?: return listOf("duties: the key-value service does not answer")
    return listOf("duties:") + holders.map { "$INDENT${it.duty}: ${it.holder}, fencing number ${it.fencingNumber}" }
}

private fun DaemonReport.toLines(): List<String> {
    val headline = TextStyles.bold("$kind $instance in $failureDomain".lowercase()) + if (isLeaving) ", leaving" else ""
    if (status == null) return listOf(headline, TextColors.red("$INDENT$problem"))
    return listOf(headline) + status.sections.flatMap { (name, content) -> content.toLines(name, INDENT) }
}

private fun JsonElement.toLines(name: String, indent: String): List<String> = when (this) {
    is JsonPrimitive -> listOf("$indent$name: ${contentOrNull ?: "none"}")

    is JsonObject -> listOf("$indent$name:${if (isEmpty()) " none" else ""}") +
        entries.flatMap { (key, value) -> value.toLines(key, indent + INDENT) }

    is JsonArray -> listOf("$indent$name:${if (isEmpty()) " none" else ""}") +
        flatMapIndexed { index, value -> value.toLines("${index + 1}", indent + INDENT) }
}
