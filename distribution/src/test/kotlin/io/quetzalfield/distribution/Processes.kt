package io.quetzalfield.distribution

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Starts the separate processes of one test; [close] ends them. */
internal class Processes : AutoCloseable {
    val directory: Path = Files.createTempDirectory("quetzalfield")
    private val running = mutableMapOf<String, Process>()

    /** Starts the program with main class [mainClass]; its output goes to `NAME.log`. */
    fun start(name: String, mainClass: String, vararg arguments: String): Process {
        val command = listOf(javaProgram(), "-Xmx256m", "-cp", System.getProperty("java.class.path"), mainClass)
        val process = ProcessBuilder(command + arguments)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(directory.resolve("$name.log").toFile()))
            .start()
        running[name] = process
        return process
    }

    fun process(name: String): Process = running.getValue(name)

    /** Returns the output of the process [name] so far. */
    fun log(name: String): String = Files.readString(directory.resolve("$name.log"))

    /** Sends [signal], such as `STOP`, to the process [name]. */
    fun signal(name: String, signal: String) {
        ProcessBuilder("kill", "-$signal", "${process(name).pid()}").start().waitFor()
    }

    /** Kills the process [name] forcibly and waits until it has ended. */
    fun kill(name: String) {
        process(name).destroyForcibly().waitFor()
    }

    override fun close() {
        running.values.forEach(Process::destroyForcibly)
        running.values.forEach { it.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS) }
        directory.toFile().deleteRecursively()
    }

    private fun javaProgram(): String = Path.of(System.getProperty("java.home"), "bin", "java").toString()

    private companion object {
        const val STOP_TIMEOUT_SECONDS = 10L
    }
}

/** Polls until [condition] is true; throws [IllegalStateException] after [timeout]. */
internal fun await(what: String, timeout: Duration = 30.seconds, condition: () -> Boolean) {
    val deadline = TimeSource.Monotonic.markNow() + timeout
    while (!condition()) {
        check(deadline.hasNotPassedNow()) { "not fulfilled within $timeout: $what" }
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL.inWholeMilliseconds)
    }
}

private val POLL_INTERVAL = 10.milliseconds
