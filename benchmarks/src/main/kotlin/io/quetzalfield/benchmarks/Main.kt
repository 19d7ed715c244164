package io.quetzalfield.benchmarks

import org.openjdk.jmh.runner.Runner
import org.openjdk.jmh.runner.options.CommandLineOptions

/** Runs the benchmarks with the arguments of JMH. */
public fun main(arguments: Array<String>) {
    Runner(CommandLineOptions(*arguments)).run()
}
