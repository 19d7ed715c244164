package io.quetzalfield.operator

import com.github.ajalt.clikt.core.main

/** Starts `quetzalfield`. */
public fun main(arguments: Array<String>) {
    quetzalfieldCommand().main(arguments)
}
