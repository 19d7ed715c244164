package io.quetzalfield.support.status

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.eclipse.jetty.util.StringUtil

private const val REFRESH_SECONDS = 2

private const val STYLE = "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}" +
    "th,td{border:1px solid #bbb;padding:.2em .6em;text-align:left;vertical-align:top}"

/** An HTML page that shows [status] and reloads itself every two seconds. It needs no other file. */
public fun statusPage(status: DaemonStatus): String {
    val title = escape("${status.kind.name.lowercase()} ${status.incarnation}")
    val revision = status.listsRevision?.let { "<p>Lists revision $it is in force.</p>" }.orEmpty()
    val sections = status.sections.entries.joinToString("") { (name, content) ->
        "<h2>${escape(name)}</h2>${content.toHtml()}"
    }
    return """
        <!DOCTYPE html>
        <html lang="en">
        <head><meta charset="utf-8"><meta http-equiv="refresh" content="$REFRESH_SECONDS">
        <title>$title</title><style>$STYLE</style></head>
        <body><h1>$title</h1>$revision$sections</body>
        </html>
    """.trimIndent()
}

private fun JsonElement.toHtml(): String = when (this) {
    is JsonObject -> table(entries.map { (key, value) -> "<th>${escape(key)}</th><td>${value.toHtml()}</td>" })
    is JsonArray -> if (isEmpty()) "none" else table(map { "<td>${it.toHtml()}</td>" })
    is JsonPrimitive -> escape(contentOrNull ?: "none")
}

private fun table(rows: List<String>): String =
    if (rows.isEmpty()) "none" else "<table>${rows.joinToString("") { "<tr>$it</tr>" }}</table>"

private fun escape(text: String): String = StringUtil.sanitizeXmlString(text)
