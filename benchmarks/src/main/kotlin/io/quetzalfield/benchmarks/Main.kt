package io.quetzalfield.benchmarks

import org.openjdk.jmh.runner.Runner
import org.openjdk.jmh.runner.options.CommandLineOptions

private const val ROLLOUTS = "rollouts"

/** Runs the benchmarks with the arguments of JMH or, with the single argument `rollouts`, simulates roll-outs. */
public fun main(arguments: Array<String>) {
    if (arguments.singleOrNull() == ROLLOUTS) {
        reportRollouts()
    } else {
        Runner(CommandLineOptions(*arguments)).run()
    }
}
