package io.quetzalfield.standins

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.store.HttpInstanceDirectory
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.ChatMessage
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** A request of the demonstration by a client account of a deployment. */
private data class DemonstrationRequest(
    val deployment: String,
    val plan: String,
    val apiKey: String,
    val kind: String,
    val question: String,
    val maximumTokens: Int,
)

private val demonstrationRequests = listOf(
    DemonstrationRequest(
        "Needle Calibration Assistant",
        "bench",
        "workshop-key",
        "quick-question",
        "Which torque does a barometer needle of 40 mm take",
        24,
    ),
    DemonstrationRequest(
        "Needle Calibration Assistant",
        "certified",
        "certificate-key",
        "calibration-history",
        "Compare the calibration history of needle 7 with needle 12",
        120,
    ),
    DemonstrationRequest(
        "Watering Advice",
        "caretaker",
        "caretaker-key",
        "quick-question",
        "Why does the desk fern turn yellow",
        24,
    ),
    DemonstrationRequest(
        "Watering Advice",
        "grower",
        "grower-key",
        "watering-plan",
        "Write a watering plan for forty succulents from this care log",
        160,
    ),
)

/** Sends the requests of both deployments through the system and prints the result of each. */
internal class DemonstrationCommand : CliktCommand("demonstrate") {
    private val platform by option("--platform", help = "http://host:port of the platform").required()
    private val entries by option("--entries", help = "live entries to wait for").int().required()
    private val runners by option("--runners", help = "live runners to wait for").int().required()

    override fun run() {
        val first = awaitFleet() ?: fail("the fleet was not complete in time")
        val addresses = CallerClient(first).addresses()
        echo("addresses to use: ${addresses.joinToString()}")
        val client = CallerClient(addresses.first())
        val results = demonstrationRequests.map { request -> report(client, request) }
        val booked = book(client)
        if (results.any { !it } || !booked) fail("a request was not answered as it should be")
        echo("all answers are whole, and each was billed once")
    }

    private fun fail(message: String): Nothing {
        echo(message, err = true)
        throw ProgramResult(1)
    }

    /** Waits until all instances are listed and the entries are ready; returns the address of one, or `null`. */
    private fun awaitFleet(): String? {
        val directory = HttpInstanceDirectory(platform)
        val deadline = TimeSource.Monotonic.markNow() + START_TIMEOUT
        while (deadline.hasNotPassedNow()) {
            val listed = directory.instances().getOrNull().orEmpty()
            val entryAddresses = listed.filter { it.kind == InstanceKind.ENTRY }.map { it.address }
            val runnerCount = listed.count { it.kind == InstanceKind.RUNNER }
            val isComplete = entryAddresses.size >= entries && runnerCount >= runners
            if (isComplete && entryAddresses.all { CallerClient(it).isReady() }) return entryAddresses.first()
            TimeUnit.MILLISECONDS.sleep(POLL.inWholeMilliseconds)
        }
        return null
    }

    private fun report(client: CallerClient, request: DemonstrationRequest): Boolean {
        val session = client.openSession(request.apiKey, request.kind)
        val body = ChatCompletionRequest(
            model = "auto",
            messages = listOf(ChatMessage("user", request.question)),
            stream = true,
            maximumTokens = request.maximumTokens,
        )
        val answer = client.complete(request.apiKey, body, kind = request.kind, session = session.token)
        val isWhole = answer.error == null && answer.text == answerWords(body).joinToString("")
        echo(
            "${request.deployment}: plan ${request.plan}, route ${answer.version}, " +
                "price ${answer.priceMicros} millionths, first token ${answer.untilFirstToken}, " +
                "total ${answer.untilEnd}, whole ${if (isWhole) "yes" else "NO: ${answer.error}"}, " +
                "billed ${if (answer.isBilled) "once" else "NO"}",
        )
        return isWhole && answer.isBilled
    }

    private fun book(client: CallerClient): Boolean {
        val ticket = client.mintTicket("workshop-key")
        val first = client.callService("workshop-key", "bookings", "book", ticket, """{"needle":7}""")
        val second = client.callService("workshop-key", "bookings", "book", ticket, """{"needle":7}""")
        val ranOnce = first.status == SUCCESS && second == first
        echo("booking: sent twice under one ticket, ran ${if (ranOnce) "once" else "NOT ONCE"}: ${first.body}")
        return ranOnce
    }

    private companion object {
        val START_TIMEOUT: Duration = 40.seconds
        val POLL: Duration = 0.1.seconds
        const val SUCCESS = 200
    }
}
