package io.quetzalfield.operator

import arrow.core.getOrElse
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.platform.EtcdGatewayKeyValueStore

private const val EXIT_REFUSED = 1

private class QuetzalfieldCommand : CliktCommand("quetzalfield") {
    override fun run() = Unit
}

/** What the commands that read the two files share. */
private abstract class ListsCommand(name: String) : CliktCommand(name) {
    private val plans by option("--plans", help = "YAML file with the client plans").path().required()
    private val models by option("--models", help = "YAML file with the models and versions").path().required()

    protected val files: ListsFiles get() = ListsFiles(plans, models)

    protected fun refuse(messages: List<String>): Nothing {
        messages.forEach { echo(it, err = true) }
        throw ProgramResult(EXIT_REFUSED)
    }
}

private class CheckCommand : ListsCommand("check") {
    override fun run() {
        files.load(ListsRevision(1)).getOrElse(::refuse)
        echo("the lists are right")
    }
}

private class ApplyCommand : ListsCommand("apply") {
    private val platform by option("--platform", help = "http://host:port of the platform").required()

    override fun run() {
        val store = ListsStore(EtcdGatewayKeyValueStore(platform))
        val base = store.read().getOrElse { refuse(listOf(it.message)) }
        val lists = files.load(base.nextRevision).getOrElse(::refuse)
        store.replace(base, lists).getOrElse { refuse(listOf("not applied: $it")) }
        echo("revision ${lists.revision} is written")
    }
}

/** Starts `quetzalfield`. */
public fun main(arguments: Array<String>) {
    QuetzalfieldCommand().subcommands(CheckCommand(), ApplyCommand(), replayCommand()).main(arguments)
}
