package io.quetzalfield.entry

import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.support.parseYaml
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class OperatingPageTest {
    private val page = Files.readString(Path.of("..", "docs", "OPERATING.md"))

    /** Returns the cells of the first table after [heading], without its header row. */
    private fun table(heading: String): List<List<String>> = page.substringAfter("$heading\n").lines()
        .dropWhile { !it.startsWith("|") }
        .takeWhile { it.startsWith("|") }
        .drop(2)
        .map { row -> row.trim('|').split('|').map { it.trim().trim('`') } }

    @Test
    fun `the page lists each error code with its status and whether the request ran`() {
        val codes = RefusalReason.entries.map { listOf(it.code, "${it.status}", "no") } +
            InterruptionReason.entries.map { listOf(it.code, "${it.status}", "unknown") }
        assertEquals(codes, table("### Errors").map { it.take(3) })
    }

    @Test
    fun `the page lists each setting of an entry`() {
        val descriptor = EntrySettings.serializer().descriptor
        val keys = List(descriptor.elementsCount) { index ->
            descriptor.getElementName(index) to descriptor.isElementOptional(index)
        }
        val documented = table("### Settings of an entry").map { it[0] to it[1].isNotEmpty() }
        assertEquals(keys.sortedBy { it.first }, documented.sortedBy { it.first })
    }

    @Test
    fun `the page states the defaults of an entry`() {
        val required = Files.readString(Path.of("..", "examples", "settings", "entry.yaml")).lines()
            .filterNot { it.startsWith("operatorAddress") || it.startsWith("addressValidity") }
            .joinToString("\n")
        val defaults = table("### Settings of an entry").filter { it[1].isNotEmpty() }
            .joinToString("\n") { (key, default) -> "$key: $default" }
        val serializer = EntrySettings.serializer()
        val expected = parseYaml("defaults", required, serializer)
        assertEquals(expected, parseYaml("documented", "$required\n$defaults", serializer))
    }
}
