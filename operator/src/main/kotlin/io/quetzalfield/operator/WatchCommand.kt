package io.quetzalfield.operator

import arrow.core.getOrElse
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Shows the state of all entries and stewards periodically until it is interrupted. */
internal class WatchCommand(connector: PlatformConnector) :
    OperatorCommand(
        "watch",
        "Show roll-outs, sessions, duties, bills and ages of all entries and stewards, updated live",
    ) {
    private val platform by PlatformOptions(connector)
    private val isOnce by option("--once", help = "Show the state once and exit").flag()
    private val period: Duration by option("--period", help = "Time between updates, such as 2s; default 2s")
        .convert {
            readDuration(it)
                ?: fail("'$it' is not a duration; allowed: a number with a unit, such as 500ms or 2s")
        }
        .default(DEFAULT_PERIOD)

    override fun run() {
        val connection = platform.connect()
        show(connection)
        while (!isOnce) {
            TimeUnit.MILLISECONDS.sleep(period.inWholeMilliseconds)
            show(connection)
        }
    }

    private fun show(connection: PlatformConnection) {
        val status = connection.readFleetStatus().getOrElse { error ->
            if (isOnce) fail(ExitCode.PLATFORM_SILENT, listOf(error.message))
            echo(error.message, err = true)
            return
        }
        clearScreen()
        report(FleetStatus.serializer(), status, FleetStatus::toLines)
    }

    private fun clearScreen() {
        if (isOnce || isJson || !terminal.terminalInfo.outputInteractive) return
        terminal.cursor.move {
            setPosition(0, 0)
            clearScreen()
        }
    }

    private companion object {
        val DEFAULT_PERIOD: Duration = 2.seconds
    }
}
