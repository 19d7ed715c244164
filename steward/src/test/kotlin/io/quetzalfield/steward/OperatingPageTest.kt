package io.quetzalfield.steward

import io.quetzalfield.support.parseYaml
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class OperatingPageTest {
    /** Key and default of each documented setting. */
    private val documented = Files.readString(Path.of("..", "docs", "OPERATING.md"))
        .substringAfter("### Settings of a steward")
        .substringBefore("\n## ")
        .lines()
        .filter { it.startsWith("| `") }
        .map { row -> row.trim('|').split('|').map { it.trim(' ', '`') } }

    @Test
    fun `the page lists each setting of a steward`() {
        val descriptor = StewardSettings.serializer().descriptor
        val keys = List(descriptor.elementsCount, descriptor::getElementName)
        assertEquals(keys.sorted(), documented.map { it[0] }.sorted())
    }

    @Test
    fun `the page states the defaults of a steward`() {
        val (optional, required) = documented.partition { it[1].isNotEmpty() }
        val given = required.joinToString("\n") { (key) -> "$key: given" }
        val defaults = optional.joinToString("\n") { (key, default) -> "$key: $default" }
        val serializer = StewardSettings.serializer()
        val expected = parseYaml("defaults", given, serializer)
        assertEquals(expected, parseYaml("documented", "$given\n$defaults", serializer))
    }
}
