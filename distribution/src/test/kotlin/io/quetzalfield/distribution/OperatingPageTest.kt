package io.quetzalfield.distribution

import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.HttpInstanceDirectory
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.ChatMessage
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Runs every command of docs/OPERATING.md in order against a fleet of separate processes. */
class OperatingPageTest {
    private val root = Path.of("..").toAbsolutePath().normalize()

    private val commands = Regex("```console\n(.*?)```", RegexOption.DOT_MATCHES_ALL)
        .findAll(Files.readString(root.resolve("docs/OPERATING.md")))
        .flatMap { block -> block.groupValues[1].lines() }
        .filter { it.startsWith("$ ") }
        .map { it.removePrefix("$ ") }
        .toList()

    /** Shell functions that replace the scripts in `bin`, whose libraries are copied only after the tests. */
    private val programs = mapOf(
        "bin/quetzalfield" to "operator",
        "bin/quetzalfield-entry" to "entry",
        "bin/quetzalfield-steward" to "steward",
    ).map { (script, module) ->
        "function $script { java -Xmx128m -cp \"\$CLASS_PATH\" io.quetzalfield.$module.MainKt \"\$@\"; }"
    }

    @Test
    fun `every command of the page succeeds`() {
        assertTrue(commands.size > 20, "only ${commands.size} commands found in the page")
        SmallFleet().use { fleet ->
            val directory = Files.createDirectory(fleet.processes.directory.resolve("operator-work"))
            root.resolve("examples").toFile().copyRecursively(directory.resolve("examples").toFile())
            val environment = environment(fleet)
            val failed = commands.mapNotNull { command ->
                val (status, output) = run(command, directory, environment)
                if (status == 0) null else "$command exited with status $status:\n$output"
            }
            assertEquals(emptyList(), failed)
        }
    }

    private fun environment(fleet: SmallFleet): Map<String, String> {
        val body = ChatCompletionRequest("auto", listOf(ChatMessage("user", "hello")), maximumTokens = 2)
        fleet.caller("entry-1").complete("workshop-key", body.copy(stream = true))
        val listed = HttpInstanceDirectory(fleet.platform).instances().getOrNull().orEmpty()
        val status = checkNotNull(listed.first { it.id == InstanceId("entry-1") }.operatorAddress)
        val latest = Json.parseToJsonElement(URI("$status/operator/requests").toURL().readText()).jsonArray.first()
        return mapOf(
            "CLASS_PATH" to System.getProperty("java.class.path"),
            "PLATFORM" to fleet.platform,
            "ENTRY" to checkNotNull(fleet.addressOf("entry-1")),
            "STATUS" to status,
            "REQUEST" to latest.jsonObject.getValue("request").jsonPrimitive.content,
            "ENTRY_PID" to "${fleet.processes.process("entry-2").pid()}",
        )
    }

    private fun run(command: String, directory: Path, environment: Map<String, String>): Pair<Int, String> {
        val script = (programs + command).joinToString("\n")
        val output = Files.createTempFile(directory, "output", ".txt")
        val process = ProcessBuilder("bash", "-c", script)
            .directory(directory.toFile())
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .apply { environment().putAll(environment) }
            .start()
        if (!process.waitFor(COMMAND_TIMEOUT_SECONDS, TimeUnit.SECONDS)) process.destroyForcibly()
        return process.waitFor() to Files.readString(output)
    }

    private companion object {
        const val COMMAND_TIMEOUT_SECONDS = 60L
    }
}
