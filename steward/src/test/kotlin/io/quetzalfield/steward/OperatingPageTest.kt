package io.quetzalfield.steward

import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class OperatingPageTest {
    @Test
    fun `the page lists each setting of a steward`() {
        val documented = Files.readString(Path.of("..", "docs", "OPERATING.md"))
            .substringAfter("### Settings of a steward")
            .substringBefore("\n## ")
            .lines()
            .filter { it.startsWith("| `") }
            .map { it.substringAfter('`').substringBefore('`') }
        val descriptor = StewardSettings.serializer().descriptor
        assertEquals(List(descriptor.elementsCount, descriptor::getElementName).sorted(), documented.sorted())
    }
}
