package io.quetzalfield.operator

import arrow.core.getOrElse
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.PrintMessage
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import io.quetzalfield.replay.DeploymentName
import io.quetzalfield.replay.GeneratorSettings
import io.quetzalfield.replay.NamedPolicy
import io.quetzalfield.replay.PolicySummary
import io.quetzalfield.replay.deployment
import io.quetzalfield.replay.generateTrace
import io.quetzalfield.replay.readTrace
import io.quetzalfield.replay.replay
import io.quetzalfield.replay.replaySeeds
import io.quetzalfield.replay.replayTable
import io.quetzalfield.replay.summarise
import io.quetzalfield.replay.writePlots
import io.quetzalfield.replay.writeTrace
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

private const val EXIT_UNREADABLE = 1
private const val DEFAULT_REQUESTS = 30_000
private val ReportJson = Json { prettyPrint = true }

/** Creates `quetzalfield replay` with its subcommands. */
internal fun replayCommand(): CliktCommand = ReplayCommand().subcommands(GenerateCommand(), SeedsCommand())

/** Base class of the commands that replay traces and report measures. */
private abstract class ReportingCommand(name: String) : CliktCommand(name) {
    private val policyLabels by option("--policy", help = "policy to replay, may be repeated; default all")
        .choice(choices = NamedPolicy.entries.map { it.label }.toTypedArray())
        .multiple()
    private val isJson by option("--json", help = "print JSON instead of a table").flag()
    private val plots by option("--plots", help = "directory for one plot per measure").path()

    protected val policies: List<NamedPolicy>
        get() = policyLabels.mapNotNull(NamedPolicy::of).ifEmpty { NamedPolicy.entries }

    protected fun report(summaries: List<PolicySummary>) {
        if (isJson) {
            echo(ReportJson.encodeToString(ListSerializer(PolicySummary.serializer()), summaries))
        } else {
            echo(replayTable(summaries))
        }
        plots?.let { directory -> writePlots(summaries, directory) }
    }
}

private class ReplayCommand : ReportingCommand("replay") {
    override val invokeWithoutSubcommand: Boolean = true

    private val trace by option("--trace", help = "trace file").path()

    override fun run() {
        if (currentContext.invokedSubcommand != null) return
        val path = trace ?: throw UsageError("--trace is missing; allowed: a trace file, or generate or seeds")
        val parsed = readTrace(path).getOrElse { error ->
            throw PrintMessage(error.message, statusCode = EXIT_UNREADABLE, printError = true)
        }
        report(policies.map { summarise(listOf(replay(parsed, it))) })
    }
}

/** Base class of the commands that generate traces, with the options of the generator. */
private abstract class GeneratingCommand(name: String) : ReportingCommand(name) {
    private val deploymentLabel by option("--deployment", help = "deployment to generate traces for")
        .choice(choices = DeploymentName.entries.map { it.name.lowercase() }.toTypedArray())
        .required()
    private val requests by option("--requests", help = "expected number of requests").int().default(DEFAULT_REQUESTS)
    private val rate by option("--rate", help = "request rate as a multiple of the usual rate").double().default(1.0)
    private val isFlood by option("--flood", help = "add all of the additional rate to one account").flag()
    private val isCalm by option("--calm", help = "without roll-outs, faults and bursts").flag()

    protected val deployment get() = DeploymentName.valueOf(deploymentLabel.uppercase()).deployment

    protected fun settings(seed: Long) =
        GeneratorSettings(seed, requests, rate, hasIncidents = !isCalm, isFlood = isFlood)
}

private class GenerateCommand : GeneratingCommand("generate") {
    private val seed by option("--seed", help = "seed of the trace").long().default(1)
    private val output by option("--output", help = "trace file to write").path().required()

    override fun run() {
        writeTrace(generateTrace(deployment, settings(seed)), output)
        echo("$output is written")
    }
}

private class SeedsCommand : GeneratingCommand("seeds") {
    private val count by option("--count", help = "number of traces, with seeds counted from 1").int().default(20)

    override fun run() {
        report(replaySeeds(deployment, (1L..count).toList(), policies, settings(seed = 1)))
    }
}
