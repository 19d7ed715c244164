package io.quetzalfield.operator

import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ReplayCommandTest {
    @TempDir
    lateinit var directory: Path

    @Test
    fun `a generated trace is replayed, tabulated and plotted`() {
        val trace = directory.resolve("trace.jsonl")
        val plots = directory.resolve("plots")
        val generated = replayCommand().test("generate --deployment association --requests 200 --output $trace")
        assertEquals(0, generated.statusCode, generated.output)
        val replayed = replayCommand().test("--trace $trace --policy cascade --policy oracle --plots $plots")
        assertEquals(0, replayed.statusCode, replayed.output)
        assertTrue(replayed.stdout.startsWith("| measure | cascade | oracle |"))
        assertTrue(plots.listDirectoryEntries("*.png").isNotEmpty())
    }

    @Test
    fun `several seeds are reported as JSON`() {
        val result = replayCommand().test(
            "seeds --deployment kalkkila --count 2 --requests 200 --policy cascade --json",
        )
        assertTrue("\"halfWidth\"" in result.stdout, result.output)
    }

    @ParameterizedTest
    @CsvSource("'', --trace", "--trace missing.jsonl, missing.jsonl", "--policy other, other")
    fun `wrong arguments are refused by name`(arguments: String, named: String) {
        val result = replayCommand().test(arguments)
        assertTrue(result.statusCode != 0)
        assertTrue(named in result.stderr, result.stderr)
    }
}
