package io.quetzalfield.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.store.HttpInstanceDirectory
import org.HdrHistogram.Histogram
import kotlin.time.Duration.Companion.seconds

private const val MICROSECONDS_PER_MILLISECOND = 1_000.0
private val PERCENTILES = listOf(50.0, 95.0, 99.0, 99.9)

/** Compares the latency of answers through an entry with that of answers directly from a runner, in the same run. */
internal class LoadCommand : CliktCommand("load") {
    private val platform by option("--platform", help = "http://host:port of the platform").required()
    private val rate by option("--rate", help = "requests per second on each path").int().default(50)
    private val duration by option("--seconds", help = "length of the measured run in seconds").int().default(20)
    private val warmUp by option("--warm-up-seconds", help = "length of the warm-up run in seconds").int().default(10)
    private val tokens by option("--tokens", help = "length of each answer in tokens").int().default(24)
    private val apiKey by option("--api-key").default("workshop-key")
    private val model by option("--model", help = "model@version").default("advisor-small@2")

    override fun run() {
        val instances = HttpInstanceDirectory(platform).instances().getOrNull().orEmpty()
        val callers = mapOf(
            "direct" to CallerClient(addressOf(instances, ::isRunnerOfModel)),
            "routed" to CallerClient(addressOf(instances) { it.kind == InstanceKind.ENTRY }),
        )
        LoadRun(plan(warmUp), callers).run()
        val results = LoadRun(plan(duration), callers).run()
        results.forEach { (path, result) -> report(path, result) }
        reportAdded(results.getValue("direct"), results.getValue("routed"))
        if (results.values.any { it.failures.get() > 0 }) throw ProgramResult(1)
    }

    private fun plan(seconds: Int) = LoadPlan(rate * PATH_COUNT, seconds.seconds, tokens, apiKey, model)

    private fun isRunnerOfModel(instance: ListedInstance): Boolean =
        instance.kind == InstanceKind.RUNNER && instance.versions.contains(ModelVersionReference.parse(model))

    private fun addressOf(instances: List<ListedInstance>, condition: (ListedInstance) -> Boolean): String =
        instances.firstOrNull(condition)?.address ?: run {
            echo("the platform lists no such instance", err = true)
            throw ProgramResult(1)
        }

    private fun report(path: String, result: LoadResult) {
        echo("$path: ${result.total.totalCount} answers, ${result.failures} not whole")
        echo("  first token ${describe(result.firstToken)}")
        echo("  total       ${describe(result.total)}")
    }

    private fun describe(histogram: Histogram): String =
        PERCENTILES.joinToString { "p$it ${milliseconds(histogram.getValueAtPercentile(it))} ms" }

    private fun reportAdded(direct: LoadResult, routed: LoadResult) {
        val added = PERCENTILES.joinToString { percentile ->
            val difference = routed.firstToken.getValueAtPercentile(percentile) -
                direct.firstToken.getValueAtPercentile(percentile)
            "p$percentile ${milliseconds(difference)} ms"
        }
        echo("added to the first token: $added")
    }

    private fun milliseconds(microseconds: Long): String = "%.2f".format(microseconds / MICROSECONDS_PER_MILLISECOND)

    private companion object {
        const val PATH_COUNT = 2
    }
}
