package io.quetzalfield.distribution

import io.quetzalfield.standins.CallerClient
import io.quetzalfield.store.EtcdGatewayKeyValueStore
import io.quetzalfield.store.HttpInstanceDirectory
import java.nio.file.Files
import java.nio.file.Path

private const val STAND_INS = "io.quetzalfield.standins.MainKt"
private const val ENTRY = "io.quetzalfield.entry.MainKt"
private const val STEWARD = "io.quetzalfield.steward.MainKt"
private const val OPERATOR = "io.quetzalfield.operator.MainKt"

/** A platform stand-in, two entries, a steward, three runners and a service, each in a separate process. */
internal class SmallFleet : AutoCloseable {
    val processes = Processes()
    lateinit var platform: String
        private set
    lateinit var store: EtcdGatewayKeyValueStore
        private set

    init {
        @Suppress("TooGenericExceptionCaught") // The processes of a fleet that did not start must not go on.
        try {
            startAll()
        } catch (error: RuntimeException) {
            close()
            throw error
        }
    }

    private fun startAll() {
        val addressFile = processes.directory.resolve("platform")
        processes.start("platform", STAND_INS, "platform", "--address-file", "$addressFile")
        await("the platform has written its address") { Files.exists(addressFile) }
        platform = Files.readString(addressFile)
        store = EtcdGatewayKeyValueStore(platform)
        applyLists()
        startRunner("runner-1", "domain-1", "advisor-small@1", "advisor-small@2")
        startRunner("runner-2", "domain-2", "advisor-small@2", "advisor-large@1")
        startRunner("runner-3", "domain-3", "advisor-large@1", "advisor-large@2")
        val service = arrayOf("service", "--platform", platform, "--instance", "service-1", "--service", "bookings")
        processes.start("service-1", STAND_INS, *service)
        startEntry("entry-1", "domain-1")
        startEntry("entry-2", "domain-2")
        startSteward("steward-1")
        await("the fleet is ready") { addressOf("entry-1") != null && addressOf("entry-2") != null && isComplete() }
    }

    private fun isComplete(): Boolean = INSTANCES.all { addressOf(it) != null } &&
        listOf("entry-1", "entry-2").all { CallerClient(checkNotNull(addressOf(it))).isReady() }

    /** Returns a client of the entry [instance]. */
    fun caller(instance: String): CallerClient = CallerClient(checkNotNull(addressOf(instance)))

    /** Returns the address of [instance] in the platform's list, or `null` if it is not listed. */
    fun addressOf(instance: String): String? = HttpInstanceDirectory(platform).instances().getOrNull().orEmpty()
        .firstOrNull { it.id.value == instance }?.address

    fun applyLists() {
        val arguments =
            arrayOf("--plans", "${EXAMPLES.resolve("plans.yaml")}", "--models", "${EXAMPLES.resolve("models.yaml")}")
        val apply = processes.start("operator", OPERATOR, "apply", "--platform", platform, *arguments)
        check(apply.waitFor() == 0) { processes.log("operator") }
    }

    fun startRunner(instance: String, failureDomain: String, vararg versions: String) {
        val options = versions.flatMap { listOf("--version", it) }.toTypedArray()
        processes.start(
            instance, STAND_INS, "runner", "--platform", platform, "--instance", instance,
            "--failure-domain", failureDomain, "--token-delay", "5", "--run-log", "${runLog(instance)}", *options,
        )
    }

    /** File that the runner [instance] writes its runs to, one per line. */
    fun runLog(instance: String): Path = processes.directory.resolve("$instance.runs")

    fun startEntry(instance: String, failureDomain: String) {
        val settings = writeSettings(
            instance,
            """
            instance: $instance
            failureDomain: $failureDomain
            callerAddress: 127.0.0.1:0
            peerAddress: 127.0.0.1:0
            platformAddress: $platform
            addressValidity: 1s
            """,
        )
        processes.start(instance, ENTRY, "--settings", "$settings")
    }

    fun startSteward(instance: String) {
        val settings = writeSettings(
            instance,
            """
            instance: $instance
            failureDomain: domain-1
            peerAddress: 127.0.0.1:0
            operatorAddress: 127.0.0.1:0
            platformAddress: $platform
            leaseTimeToLive: 2s
            leaseMargin: 500ms
            dutyPeriod: 200ms
            billPeriod: 500ms
            goneAfter: 3s
            """,
        )
        processes.start(instance, STEWARD, "--settings", "$settings")
    }

    private fun writeSettings(instance: String, text: String): Path =
        Files.writeString(processes.directory.resolve("$instance.yaml"), text.trimIndent())

    override fun close() {
        processes.close()
    }

    private companion object {
        val EXAMPLES: Path = Path.of("..", "examples", "lists").toAbsolutePath().normalize()
        val INSTANCES = listOf("runner-1", "runner-2", "runner-3", "service-1", "entry-1", "entry-2", "steward-1")
    }
}
