package io.quetzalfield.operator

import com.github.ajalt.clikt.core.main

/** Runs the `quetzalfield` command line. */
public fun main(arguments: Array<String>) {
    quetzalfieldCommand().main(arguments)
}
