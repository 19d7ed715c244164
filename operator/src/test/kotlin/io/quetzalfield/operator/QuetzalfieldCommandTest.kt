package io.quetzalfield.operator

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.RequestId
import io.quetzalfield.support.status.ExplainedFailure
import io.quetzalfield.support.status.RequestExplanation
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Files
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class QuetzalfieldCommandTest {
    private val directory = Files.createTempDirectory("lists")
    private val examples = Path.of("..", "examples", "lists")
    private val plans = directory.resolve("plans.yaml")
    private val models = directory.resolve("models.yaml")
    private val files = listOf("--plans", "$plans", "--models", "$models")
    private val platform = FakePlatform()

    init {
        restoreFiles()
    }

    @AfterEach
    fun deleteDirectory() {
        directory.toFile().deleteRecursively()
    }

    private fun restoreFiles() {
        Files.writeString(plans, Files.readString(examples.resolve("plans.yaml")))
        Files.writeString(models, Files.readString(examples.resolve("models.yaml")))
    }

    private fun edit(file: Path, from: String, to: String) {
        val text = Files.readString(file)
        check(from in text) { "$file does not contain $from" }
        Files.writeString(file, text.replaceFirst(from, to))
    }

    private fun run(vararg arguments: String): CliktCommandTestResult =
        quetzalfieldCommand(platform.connector).test(arguments.toList())

    private fun runOnLists(command: String, vararg options: String): CliktCommandTestResult =
        run(command, *files.toTypedArray(), "--platform", "http://platform", *options)

    @Nested
    inner class Check {
        @Test
        fun `the example lists are right`() {
            val result = run("check", *files.toTypedArray())
            assertEquals(0 to "the lists are right\n", result.statusCode to result.stdout)
        }

        @ParameterizedTest
        @CsvSource(
            delimiter = '~',
            value = [
                "models ~ [advisor-small@1, advisor-small@2] ~ [advisor-tiny@1] ~ " +
                    "models.yaml:16: permissions[bench].versions: is advisor-tiny@1; allowed: a version that",
                "models ~ versions: [advisor-small@2, advisor-large@1] ~ versions: [] ~ " +
                    "models.yaml:19: permissions[certified].versions: is without a serving version",
                "models ~ versions: [advisor-small@2, advisor-large@2] ~ versions: [advisor-small@1] ~ " +
                    "models.yaml:24: permissions[grower].versions: is without a serving version",
                "plans ~ qualityTarget: 0.9 ~ qualityTarget: 1.2 ~ " +
                    "plans.yaml:8: plans[certified].qualityTarget: is 1.2; allowed: a share from 0 to 1",
                "plans ~ tokensPerMinute: 600000 ~ tokensPerMinute: -1 ~ " +
                    "plans.yaml:18: accounts[workshop-tampere].tokensPerMinute: is -1; allowed: 0 or more",
                "plans ~ plan: bench ~ plan: bank ~ plans.yaml:16: accounts[workshop-tampere].plan: is bank; allowed:",
                "plans ~ qualityTarget: 0.9 ~ quality: 0.9 ~ plans.yaml:8: plans[1].quality: unknown key 'quality'",
                "models ~ advisor-small@1 ~ advisor-small ~ " +
                    "models.yaml:16: permissions[0].versions[0]: is 'advisor-small'; allowed: model@version",
            ],
        )
        fun `each bad list is refused with file, line and reason`(file: String, from: String, to: String, why: String) {
            edit(directory.resolve("$file.yaml"), from, to)
            val result = run("check", *files.toTypedArray())
            assertEquals(ExitCode.LISTS_REFUSED.code, result.statusCode)
            assertContains(result.stderr, why)
        }

        @Test
        fun `errors in both files are reported together`() {
            edit(plans, "qualityTarget", "quality")
            edit(models, "priorQuality", "quality")
            val result = run("check", *files.toTypedArray())
            assertContains(result.stderr, "plans.yaml:4:")
            assertContains(result.stderr, "models.yaml:5:")
        }
    }

    @Nested
    inner class Apply {
        @Test
        fun `the lists are written and in force at all live entries`() {
            platform.addEntry("entry-1") { platform.storedRevision() }
            val result = runOnLists("apply")
            assertEquals(0, result.statusCode)
            assertContains(result.stdout, "+ plans[bench].qualityTarget: 0.75")
            assertContains(result.stdout, "in force at all 1 live entries")
        }

        @Test
        fun `entries that do not follow in time are named`() {
            platform.addEntry("entry-1") { platform.storedRevision() }
            platform.addEntry("entry-2") { ListsRevision.None }
            platform.addEntry("entry-3") { null }
            val result = runOnLists("apply", "--timeout", "1ms")
            assertEquals(ExitCode.NOT_IN_FORCE.code, result.statusCode)
            assertContains(result.stdout, "not yet in force at:\n  entry-2: revision 0\n  entry-3: no answer\n")
        }

        @Test
        fun `lists at another base are refused and nothing is written`() {
            runOnLists("apply")
            edit(plans, "qualityTarget: 0.9", "qualityTarget: 0.8")
            val result = runOnLists("apply", "--base", "7")
            assertEquals(ExitCode.CLASH.code, result.statusCode)
            assertContains(result.stderr, "~ plans[certified].qualityTarget: 0.9 -> 0.8")
            assertEquals(ListsRevision(1), platform.storedRevision())
        }

        @Test
        fun `bad lists are not written`() {
            edit(plans, "qualityTarget: 0.9", "qualityTarget: 9")
            assertEquals(ExitCode.LISTS_REFUSED.code, runOnLists("apply").statusCode)
            assertEquals(null, ListsStore(platform.store).read().getOrNull()?.lists)
        }

        @Test
        fun `lists that change nothing are not written`() {
            runOnLists("apply")
            assertContains(runOnLists("apply").stdout, "nothing to change at revision 1")
            assertEquals(ListsRevision(1), platform.storedRevision())
        }

        @Test
        fun `a store that is down has its own exit code`() {
            platform.store.isDown = true
            assertEquals(ExitCode.PLATFORM_SILENT.code, runOnLists("apply", "--timeout", "1ms").statusCode)
        }

        @Test
        fun `a store that answers only after a while is waited for`() {
            platform.store.isDown = true
            thread {
                while (platform.store.callCount < 2) Thread.sleep(1)
                platform.store.isDown = false
            }
            assertEquals(0, runOnLists("apply").statusCode)
        }

        @Test
        fun `a time without a unit is refused`() {
            assertContains(runOnLists("apply", "--timeout", "5").stderr, "a number with a unit")
        }
    }

    @Nested
    inner class Diff {
        @Test
        fun `differences are printed as text without colour and as JSON`() {
            runOnLists("apply")
            edit(models, "state: DRAINING", "state: WITHDRAWN")
            val change = "models[advisor-small].versions[1].state"
            assertEquals("~ $change: DRAINING -> WITHDRAWN\n", runOnLists("diff").stdout)
            assertContains(
                runOnLists("diff", "--json").stdout,
                """{"kind":"CHANGED","path":"$change","before":"DRAINING","after":"WITHDRAWN"}""",
            )
        }
    }

    @Nested
    inner class Show {
        @Test
        fun `the exported lists can be applied again`() {
            runOnLists("apply")
            Files.delete(plans)
            Files.delete(models)
            run("show", "--platform", "http://platform", "--export", "$directory")
            assertContains(runOnLists("apply", "--base", "1").stdout, "nothing to change")
        }

        @Test
        fun `the revision of each entry is shown`() {
            runOnLists("apply")
            platform.addEntry("entry-1") { ListsRevision.None }
            val result = run("show", "--platform", "http://platform")
            assertEquals("stored: revision 1\nentry-1: revision 0\n", result.stdout)
        }

        @Test
        fun `the entries are shown also while the store is down`() {
            platform.addEntry("entry-1") { ListsRevision(4) }
            platform.store.isDown = true
            val result = run("show", "--platform", "http://platform")
            val expected = "stored: the key-value service does not answer\nentry-1: revision 4\n"
            assertEquals(0 to expected, result.statusCode to result.stdout)
        }
    }

    @Nested
    inner class Explain {
        private val known = RequestExplanation(
            RequestId("r-1"),
            Incarnation(InstanceId("entry-1"), "a"),
            failure = ExplainedFailure("no_runner", "none is live", mayHaveRun = false),
        )

        @Test
        fun `the entry that knows the request explains it`() {
            platform.addEntry("entry-1") { ListsRevision.None }
            platform.explanations[known.request] = known
            val result = run("explain", "r-1", "--platform", "http://platform")
            assertContains(result.stdout, "failure: no_runner, not run: none is live")
        }

        @Test
        fun `a request that no entry knows has its own exit code`() {
            platform.addEntry("entry-1") { ListsRevision.None }
            val result = run("explain", "r-2", "--platform", "http://platform")
            assertEquals(ExitCode.NOT_FOUND.code, result.statusCode)
        }
    }

    @Nested
    inner class Watch {
        @Test
        fun `a single update shows every entry, also while the store is down`() {
            platform.addEntry("entry-1") { ListsRevision(4) }
            platform.store.isDown = true
            val result = run("watch", "--once", "--platform", "http://platform")
            assertEquals(0, result.statusCode)
            assertContains(result.stdout, "entry entry-1 in domain-1\n  sessions opened: 3\n")
            assertContains(result.stdout, "duties: the key-value service does not answer")
        }
    }

    @Nested
    inner class CommandLine {
        @Test
        fun `help names every command and the exit codes`() {
            val help = run("--help").stdout
            for (command in listOf("check", "diff", "apply", "show", "explain", "watch")) assertContains(help, command)
            assertContains(help.replace(Regex("\\s+"), " "), "3 another operator has written since")
        }

        @Test
        fun `a completion script is generated`() {
            assertContains(run("--generate-completion", "bash").stdout, "complete -F _quetzalfield quetzalfield")
        }

        @Test
        fun `output that does not go to a terminal has no colours`() {
            assertFalse('\u001b' in runOnLists("apply").stdout)
        }
    }
}
