package io.quetzalfield.steward

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class MetricsPageTest {
    private val settings = StewardSettings(
        instance = InstanceId("steward-1"),
        failureDomain = FailureDomainId("domain-1"),
        peerAddress = "127.0.0.1:0",
        operatorAddress = "127.0.0.1:0",
        platformAddress = "http://127.0.0.1:1",
    )

    @Test
    fun `the page lists each metric of a steward and no other`() {
        val documented = Files.readString(Path.of("..", "docs", "METRICS.md"))
            .substringAfter("## quetzalfield-steward")
            .lines()
            .filter { it.startsWith("| `quetzalfield_") }
            .map { it.substringAfter('`').substringBefore('`').removeSuffix("_total") }
        val registered = StewardProgram(settings, InMemoryKeyValueStore(), InMemoryInstanceDirectory()).use { program ->
            program.registry.scrape().map { it.metadata.prometheusName }
        }
        assertEquals(registered.sorted(), documented.sorted())
    }
}
