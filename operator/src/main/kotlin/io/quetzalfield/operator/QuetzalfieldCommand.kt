package io.quetzalfield.operator

import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands

private class QuetzalfieldCommand : CliktCommand("quetzalfield") {
    override fun help(context: Context): String = "Tools for the operators of quetzalfield"

    override fun helpEpilog(context: Context): String =
        "Exit codes: 0 done, 1 wrong command line, 2 lists refused, 3 another operator has written since, " +
            "4 the platform did not answer, 5 written but not in force everywhere, 6 unknown request, " +
            "7 history refused."

    override fun run() = Unit
}

/** Creates the command line; [connector] connects the commands that need a platform. */
public fun quetzalfieldCommand(connector: PlatformConnector = PlatformConnector.Http): CliktCommand =
    QuetzalfieldCommand()
        .completionOption(help = "Print a completion script for the shell")
        .subcommands(
            CheckCommand(),
            DiffCommand(connector),
            ApplyCommand(connector),
            ShowCommand(connector),
            ExplainCommand(connector),
            WatchCommand(connector),
            replayCommand(),
        )
