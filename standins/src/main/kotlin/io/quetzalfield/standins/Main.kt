package io.quetzalfield.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.HttpInstanceDirectory
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.support.awaitTermination
import java.nio.file.Files
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption

private const val CRASH_STATUS = 70

private class StandInsCommand : CliktCommand("quetzalfield-standins") {
    override fun run() = Unit
}

private class PlatformCommand : CliktCommand("platform") {
    private val host by option("--host").default("127.0.0.1")
    private val port by option("--port", help = "port to listen on; 0 selects a free one").int().default(0)
    private val addressFile by option("--address-file", help = "file to write the address to").path()

    override fun run() {
        val platform = PlatformStandIn(host, port)
        val address = "http://$host:${platform.port}"
        addressFile?.let { file ->
            val draft = file.resolveSibling("${file.fileName}.draft")
            Files.writeString(draft, address, StandardOpenOption.CREATE)
            Files.move(draft, file, StandardCopyOption.ATOMIC_MOVE)
        }
        echo("platform at $address")
        awaitTermination(platform)
    }
}

/** Base class of the commands whose stand-in is announced in the platform's list of instances. */
private abstract class ListedCommand(name: String) : CliktCommand(name) {
    protected val host by option("--host").default("127.0.0.1")
    protected val port by option("--port", help = "port to listen on; 0 selects a free one").int().default(0)
    protected val platform by option("--platform", help = "http://host:port of the platform").required()
    protected val instance by option("--instance", help = "id in the platform's list of instances").required()
    protected val failureDomain by option("--failure-domain").default("domain-1")

    protected fun list(instance: ListedInstance) {
        HttpInstanceDirectory(platform).announceUntilListed(instance, onFailure = { echo(it, err = true) })
        echo("${instance.kind.name.lowercase()} ${instance.id} at ${instance.address}")
    }
}

private class RunnerCommand : ListedCommand("runner") {
    private val versions by option("--version", help = "model@version that is loaded").multiple(required = true)
    private val tokenDelay by option("--token-delay", help = "milliseconds between tokens").long().default(0)
    private val slots by option("--slots").int().default(8)
    private val runLog by option("--run-log", help = "file to append each run to, as a line of JSON").path()
    private val ignoresFencing by option("--ignores-fencing", help = "accept orders with old fencing numbers").flag()

    override fun run() {
        val references = versions.mapNotNull(ModelVersionReference::parse)
        val runner = RunnerStandIn(
            host = host,
            port = port,
            versions = references,
            slots = slots,
            tokenDelayMilliseconds = tokenDelay,
            refusesOldOrders = !ignoresFencing,
            onRun = ::logRun,
            crash = { Runtime.getRuntime().halt(CRASH_STATUS) },
        )
        list(
            ListedInstance(
                id = InstanceId(instance),
                kind = InstanceKind.RUNNER,
                address = "http://$host:${runner.port}",
                failureDomain = FailureDomainId(failureDomain),
                versions = references,
                slots = slots,
            ),
        )
        awaitTermination(runner)
    }

    private fun logRun(run: ReceivedRequest) {
        val line = PlatformJson.encodeToString(ReceivedRequest.serializer(), run) + "\n"
        runLog?.let { Files.writeString(it, line, StandardOpenOption.CREATE, StandardOpenOption.APPEND) }
    }
}

private class ServiceCommand : ListedCommand("service") {
    private val service by option("--service", help = "service that the instance belongs to").required()

    override fun run() {
        val standIn = ServiceStandIn(host, port)
        list(
            ListedInstance(
                id = InstanceId(instance),
                kind = InstanceKind.SERVICE,
                address = "http://$host:${standIn.port}",
                failureDomain = FailureDomainId(failureDomain),
                service = ServiceId(service),
            ),
        )
        awaitTermination(standIn)
    }
}

/** Runs the `quetzalfield-standins` command line. */
public fun main(arguments: Array<String>) {
    StandInsCommand()
        .subcommands(PlatformCommand(), RunnerCommand(), ServiceCommand(), DemonstrationCommand(), LoadCommand())
        .main(arguments)
}
