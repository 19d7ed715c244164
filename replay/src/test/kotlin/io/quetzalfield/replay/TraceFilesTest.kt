package io.quetzalfield.replay

import io.quetzalfield.model.VersionState
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class TraceFilesTest {
    @TempDir
    lateinit var directory: Path

    private val trace = generateTrace(KalkkilaDeployment, GeneratorSettings(seed = 5, requests = 200))
    private val lines: List<String> by lazy {
        val path = directory.resolve("trace.jsonl")
        writeTrace(trace, path)
        path.readLines()
    }

    private fun errorOf(lines: List<String>): TraceError? = parseTrace(lines.asSequence()).leftOrNull()

    private fun lineOf(type: String): Int = lines.indexOfFirst { "\"type\":\"$type\"" in it }

    @Nested
    inner class Reading {
        @Test
        fun `a written trace is read back unchanged`() {
            assertEquals(trace, parseTrace(lines.asSequence()).getOrNull())
        }

        @Test
        fun `a missing file is a typed error`() {
            assertIs<TraceError.UnreadableFile>(readTrace(directory.resolve("missing.jsonl")).leftOrNull())
        }

        @Test
        fun `a trace without a header is refused`() {
            val error = errorOf(lines.drop(1))
            assertEquals(TraceError.InvalidValue(1, "type", "not header", "header"), error)
        }
    }

    @Nested
    inner class Checks {
        @ParameterizedTest
        @CsvSource(
            "header, 'formatVersion\":1', 'formatVersion\":2', formatVersion",
            "header, 'qualityTarget\":0.9', 'qualityTarget\":9', lists.plans[bench].qualityTarget",
            "header, 'slots\":8', 'slots\":0', runners[assistant-1].slots",
            "request, 'account\":\"workshop-', 'account\":\"nobody-', account",
            "request, 'promptTokens\":', 'promptTokens\":-', promptTokens",
            "request, 'score\":0.', 'score\":7.', outcomes[needle-small@1].score",
            "request, '\"needle-small@1', '\"needle-tiny@1', outcomes[needle-small@1]",
            "runner-report, 'runner\":\"assistant-', 'runner\":\"other-', runner",
            "runner-lost, 'untilMilliseconds\":', 'untilMilliseconds\":-', untilMilliseconds",
            "lists, 'revision\":2', 'revision\":1', lists.revision",
        )
        fun `a wrong value is named with its line, key and what is allowed`(
            type: String,
            right: String,
            wrong: String,
            key: String,
        ) {
            val index = lineOf(type)
            assertTrue(right in lines[index], "the line does not contain $right")
            val changed = lines.toMutableList().also { it[index] = it[index].replaceFirst(right, wrong) }
            val error = assertIs<TraceError.InvalidValue>(errorOf(changed))
            assertEquals(index + 1, error.line)
            assertEquals(key, error.key)
            assertTrue(error.allowed.isNotBlank())
        }

        @Test
        fun `lines out of order are refused`() {
            val changed = lines.take(1) + lines.drop(1).reversed()
            assertEquals("timeMilliseconds", assertIs<TraceError.InvalidValue>(errorOf(changed)).key)
        }

        @ParameterizedTest
        @CsvSource("'{'", "'{\"type\":\"other\"}'", "'{\"type\":\"runner-lost\",\"surprise\":1}'")
        fun `a malformed line is refused with its number`(text: String) {
            val changed = lines.toMutableList().also { it[3] = text }
            assertEquals(4, assertIs<TraceError.MalformedLine>(errorOf(changed)).line)
        }
    }

    @Nested
    inner class Generator {
        @Test
        fun `the same seed gives the same trace`() {
            val again = generateTrace(KalkkilaDeployment, GeneratorSettings(seed = 5, requests = 200))
            assertEquals(trace, again)
        }

        @Test
        fun `both deployments have their size, and all incidents happen`() {
            for ((deployment, runners, domains) in listOf(
                Triple(KalkkilaDeployment, 6, 4),
                Triple(AssociationDeployment, 8, 3),
            )) {
                val generated = generateTrace(deployment, GeneratorSettings(seed = 1, requests = 2_000))
                assertEquals(null, traceFault(generated))
                assertEquals(runners, generated.header.runners.size)
                assertEquals(domains, generated.header.runners.map { it.failureDomain }.distinct().size)
                assertEquals(10, generated.header.lists.plans.accounts.size)
                assertTrue(generated.requests.size in 1_700..2_700)
                assertEquals(2, generated.events.filterIsInstance<TraceBadVersion>().size)
                val last = generated.events.filterIsInstance<TraceListsChange>().last()
                val states = last.lists.models.models.flatMap { it.versions }.map { it.state }
                assertEquals(2, states.count { it == VersionState.WITHDRAWN })
            }
        }
    }
}
