package io.quetzalfield.distribution

import org.w3c.dom.Element
import org.w3c.dom.NodeList
import java.nio.file.Files
import java.nio.file.Path
import javax.xml.parsers.DocumentBuilderFactory
import kotlin.test.Test
import kotlin.test.assertEquals

private const val ARTIFACT_PREFIX = "quetzalfield-"

/** Compares the module table and the links of the documentation with the repository. */
class ArchitecturePageTest {
    private val root = Path.of("..").toAbsolutePath().normalize()

    private fun pom(directory: Path): Element =
        DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(directory.resolve("pom.xml").toFile())
            .documentElement

    private fun NodeList.elements(): List<Element> = List(length) { item(it) as Element }

    private fun Element.text(name: String): String? = getElementsByTagName(name).elements().firstOrNull()?.textContent

    /** Modules of this project that [module] depends on at run time. */
    private fun dependencies(module: String): Set<String> = pom(root.resolve(module))
        .getElementsByTagName("dependency")
        .elements()
        .filter { it.text("scope") != "test" && it.text("artifactId").orEmpty().startsWith(ARTIFACT_PREFIX) }
        .map { it.text("artifactId").orEmpty().removePrefix(ARTIFACT_PREFIX) }
        .toSet()

    @Test
    fun `the documented modules and dependencies match the poms`() {
        val modules = pom(root).getElementsByTagName("module").elements().map { it.textContent }
        val documented = Files.readString(root.resolve("docs/ARCHITECTURE.md"))
            .substringAfter("## Modules")
            .substringBefore("\n## ")
            .lines()
            .filter { it.startsWith("| `") }
            .map { row -> row.trim('|').split('|') }
            .associate { (name, needs) ->
                name.trim(' ', '`') to Regex("`([a-z-]+)`").findAll(needs).map { it.groupValues[1] }.toSet()
            }
        assertEquals(modules.associateWith(::dependencies).toSortedMap(), documented.toSortedMap())
    }

    @Test
    fun `every link between the pages has an existing target`() {
        val pages = Files.walk(root.resolve("docs")).use { paths -> paths.filter { "$it".endsWith(".md") }.toList() }
        val broken = pages.flatMap { page ->
            Regex("""]\(([^)#:]+)(#[^)]*)?\)""").findAll(Files.readString(page))
                .map { page.resolveSibling(it.groupValues[1]).normalize() }
                .filterNot(Files::exists)
                .map { "${page.fileName}: $it" }
        }
        assertEquals(emptyList(), broken)
    }
}
