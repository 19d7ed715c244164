package io.quetzalfield.measurements

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.sun.management.OperatingSystemMXBean
import io.quetzalfield.model.ListsRevision
import java.lang.management.ManagementFactory
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val BYTES_PER_MEGABYTE = 1_048_576.0
private const val MICROSECONDS_PER_SECOND = 1_000_000.0
private const val HEADING =
    "entries runners accounts | % of a core | loopback B/s | store calls/s (all) | heap MB | lists B | change in force"
private val WARM_UP = 5.seconds
private val USUAL_SIZE = FleetSize(entries = 4, runners = 10, accounts = 10)
private val ENTRY_COUNTS = listOf(4, 8, 16, 32)
private val RUNNER_COUNTS = listOf(10, 20, 40, 80)
private val ACCOUNT_COUNTS = listOf(10, 100, 1_000, 4_000)

/**
 * The measured cost of one fleet size.
 *
 * @property processorShare processor time per entry, as a share of one core.
 * @property loopbackBytes bytes received at the loopback interface, per entry and second.
 * @property storeCalls calls of the key-value store per second, by all entries.
 * @property heapMegabytes heap in use after a garbage collection, per entry.
 * @property listsBytes length of the lists as JSON.
 * @property changeInForce time until a change of the lists is in force at all entries.
 */
internal data class CapacitySample(
    val size: FleetSize,
    val processorShare: Double,
    val loopbackBytes: Double,
    val storeCalls: Double,
    val heapMegabytes: Double,
    val listsBytes: Int,
    val changeInForce: Duration,
)

/** Measures idle entries at several fleet sizes, varying one dimension at a time. */
private class CapacityCommand : CliktCommand("measure-capacity") {
    private val seconds by option("--seconds", help = "measured seconds per fleet size").int().default(10)

    override fun run() {
        echo(HEADING)
        series(ENTRY_COUNTS.map { USUAL_SIZE.copy(entries = it) })
        series(RUNNER_COUNTS.map { USUAL_SIZE.copy(runners = it) })
        series(ACCOUNT_COUNTS.map { USUAL_SIZE.copy(accounts = it) })
    }

    private fun series(sizes: List<FleetSize>) {
        sizes.forEach { size -> report(MeasuredFleet(size).use { measure(it, size) }) }
        echo("")
    }

    private fun measure(fleet: MeasuredFleet, size: FleetSize): CapacitySample {
        sleep(WARM_UP)
        val duration = seconds.seconds
        val processorBefore = processorTime()
        val bytesBefore = loopbackBytes()
        val callsBefore = fleet.store.callCount
        sleep(duration)
        val entrySeconds = size.entries * seconds.toDouble()
        val processor = processorTime() - processorBefore
        val bytes = loopbackBytes() - bytesBefore
        val calls = fleet.store.callCount - callsBefore
        return CapacitySample(
            size = size,
            processorShare = processor.inWholeMicroseconds / MICROSECONDS_PER_SECOND / entrySeconds,
            loopbackBytes = bytes / entrySeconds,
            storeCalls = calls / seconds.toDouble(),
            heapMegabytes = heapMegabytes() / size.entries,
            listsBytes = fleet.listsJson.length,
            changeInForce = timeChange(fleet),
        )
    }

    private fun timeChange(fleet: MeasuredFleet): Duration {
        val revision = ListsRevision(2)
        val started = TimeSource.Monotonic.markNow()
        fleet.apply(revision)
        while (!fleet.isInForceAtAllEntries(revision)) sleep(POLL)
        return started.elapsedNow()
    }

    private fun report(sample: CapacitySample) {
        echo(
            "%7d %7d %8d | %11.3f | %12.0f | %19.2f | %7.2f | %7d | %s".format(
                sample.size.entries,
                sample.size.runners,
                sample.size.accounts,
                sample.processorShare * PERCENT,
                sample.loopbackBytes,
                sample.storeCalls,
                sample.heapMegabytes,
                sample.listsBytes,
                sample.changeInForce,
            ),
        )
    }

    private fun processorTime(): Duration {
        val system = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
        return system.processCpuTime.nanoseconds
    }

    @Suppress("ExplicitGarbageCollectionCall") // Only reachable objects count as heap in use.
    private fun heapMegabytes(): Double {
        System.gc()
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used / BYTES_PER_MEGABYTE
    }

    /** Total bytes received at the loopback interface, by all processes of the machine. */
    private fun loopbackBytes(): Long = Files.readAllLines(Path.of("/proc/net/dev"))
        .first { it.trim().startsWith("lo:") }
        .substringAfter(':').trim().split(' ').first().toLong()

    private fun sleep(duration: Duration) {
        TimeUnit.MILLISECONDS.sleep(duration.inWholeMilliseconds)
    }

    private companion object {
        const val PERCENT = 100
        val POLL = 1.milliseconds
    }
}

/** Runs the `measure-capacity` command line. */
public fun main(arguments: Array<String>) {
    CapacityCommand().main(arguments)
}
