package io.quetzalfield.entry

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class MetricsPageTest {
    private val settings = EntrySettings(
        instance = InstanceId("entry-1"),
        failureDomain = FailureDomainId("domain-1"),
        callerAddress = "127.0.0.1:0",
        peerAddress = "127.0.0.1:0",
        platformAddress = "http://127.0.0.1:1",
        addressValidity = 1.milliseconds,
    )

    /** The rows of the entry's table: name, labels, meaning and alarm. */
    private val rows = Files.readString(Path.of("..", "docs", "METRICS.md"))
        .substringAfter("## quetzalfield-entry")
        .substringBefore("\n## ")
        .lines()
        .filter { it.startsWith("| `quetzalfield_") }
        .map { row -> row.trim('|').split('|').map(String::trim) }

    @Test
    fun `the page lists each metric of an entry and no other`() {
        val documented = rows.map { it.first().trim('`').removeSuffix("_total") }
        val registered = EntryProgram(settings, InMemoryKeyValueStore(), InMemoryInstanceDirectory()).use { program ->
            program.registry.scrape().map { it.metadata.prometheusName }
        }
        assertEquals(registered.sorted(), documented.sorted())
    }

    @Test
    fun `the operating page mentions each metric of the table`() {
        val page = Files.readString(Path.of("..", "docs", "OPERATING.md"))
        assertEquals(emptyList(), rows.map { it.first() }.filterNot(page::contains))
    }

    @Test
    fun `each metric has a meaning and an alarm`() {
        assertTrue(rows.all { it.size == 4 && it.none(String::isEmpty) })
    }
}
