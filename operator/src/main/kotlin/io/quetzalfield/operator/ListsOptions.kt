package io.quetzalfield.operator

import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import kotlin.time.Duration

/** The options that name the two files. */
internal class ListsOptions : OptionGroup(name = "Lists") {
    private val plans by option("--plans", help = "YAML file with the client plans").path().required()
    private val models by option("--models", help = "YAML file with the models and versions").path().required()

    val files: ListsFiles get() = ListsFiles(plans, models)
}

/** The option that names the platform. */
internal class PlatformOptions(private val connector: PlatformConnector) : OptionGroup(name = "Platform") {
    private val address by option("--platform", help = "http://host:port of the platform").required()

    fun connect(): PlatformConnection = connector.connect(address)
}

/** Reads a duration with its unit, such as `500ms` or `10s`. */
internal fun readDuration(text: String): Duration? = Duration.parseOrNull(text)?.takeIf { !it.isNegative() }
