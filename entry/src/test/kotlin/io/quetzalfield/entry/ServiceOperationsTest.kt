package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import io.quetzalfield.support.startHttpServer
import okhttp3.OkHttpClient
import org.junit.jupiter.api.Nested
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.TestTimeSource

private val ACCOUNT = ClientAccountId("workshop")
private val KEY = RequestKey("booking-1")

private fun incarnation(instance: String) = Incarnation(InstanceId(instance), "1")

private fun call(body: String = "needle-1") =
    ServiceCall(ACCOUNT, ServiceId("bookings"), "book", body.encodeToByteArray(), "application/json")

/** An in-memory service that returns the [outcomes] first and then succeeds. */
private class FakeService(vararg outcomes: RequestFailure) : ServiceSender {
    private val outcomes = ArrayDeque(outcomes.toList())
    var runs = 0

    override fun send(call: ServiceCall): Either<RequestFailure, ServiceAnswer> {
        val failure = outcomes.removeFirstOrNull()
        if (failure !is NotRun) runs++
        return failure?.left() ?: ServiceAnswer(200, "text/plain", "run $runs".encodeToByteArray()).right()
    }
}

/** The outcome as the caller sees it: the body of an answer, or the reason of a failure. */
private fun Either<RequestFailure, ServiceAnswer>.summary(): String = fold({ it.reason }, { it.body.decodeToString() })

private val LOST = MayHaveRun(InterruptionReason.CONNECTION_LOST, "cut")
private val UNREACHED = NotRun(RefusalReason.NO_RUNNER, "refused")

class TicketRegistryTest {
    private val time = TestTimeSource()
    private val tickets = TicketRegistry(incarnation("entry-1"), timeSource = time)
    private val service = FakeService()

    private fun runs(service: FakeService, vararg calls: ServiceCall): List<String> {
        val ticket = tickets.mint(ACCOUNT)
        return calls.map { tickets.runOnce(it, ticket, service).summary() }
    }

    @Test
    fun `a repetition gets the known outcome, and the operation runs once`() {
        val cases = listOf(
            Triple("answered", FakeService(), listOf("run 1", "run 1")),
            Triple("cut", FakeService(LOST), listOf("connection_lost", "connection_lost")),
            Triple("not reached", FakeService(UNREACHED), listOf("no_runner", "run 1")),
        )
        for ((case, service, expected) in cases) {
            assertEquals(expected, runs(service, call(), call()), case)
            assertEquals(1, service.runs, case)
        }
    }

    @Test
    fun `a ticket is valid for one operation only`() {
        assertEquals(listOf("run 1", "idempotency_key_reused"), runs(service, call(), call("needle-2")))
    }

    @Test
    fun `a ticket of another incarnation or an expired one has an unknown outcome`() {
        val ticket = tickets.mint(ACCOUNT)
        val foreign = ticket.copy(incarnation = incarnation("entry-2"))
        assertEquals("outcome_unknown", tickets.runOnce(call(), foreign, service).summary())
        time += 2.hours
        assertEquals("outcome_unknown", tickets.runOnce(call(), ticket, service).summary())
        assertEquals(0, service.runs)
    }

    @Test
    fun `a repetition while the operation is running has an unknown outcome`() {
        val ticket = tickets.mint(ACCOUNT)
        var meanwhile = ""
        tickets.runOnce(call(), ticket) { inner ->
            meanwhile = tickets.runOnce(inner, ticket, service).summary()
            service.send(inner)
        }
        assertEquals("outcome_unknown", meanwhile)
        assertEquals(1, service.runs)
    }
}

class ClaimRegistryTest {
    private val time = TestTimeSource()
    private val store = InMemoryKeyValueStore(time)
    private val service = FakeService()

    private fun registry(instance: String, store: KeyValueStore = this.store) =
        ClaimRegistry(incarnation(instance), store, ClaimLeases(store, timeSource = time), timeSource = time)

    /** A store that runs the actions around the first write, to simulate faults and pauses of the claimer there. */
    private fun storeWith(beforeWrite: () -> Unit = {}, afterWrite: () -> Unit = {}) = object : KeyValueStore by store {
        private var writes = 0

        override fun compareAndSwap(key: String, expected: StoreRevision, value: String, lease: LeaseId?) = run {
            val isFirst = ++writes == 1
            if (isFirst) beforeWrite()
            store.compareAndSwap(key, expected, value, lease).also { if (isFirst) afterWrite() }
        }
    }

    @Nested
    inner class Once {
        @Test
        fun `only one of two entries runs the operation`() {
            val outcomes = listOf("entry-1", "entry-2").map { registry(it).runOnce(call(), KEY, service).summary() }
            assertEquals(listOf("run 1", "outcome_unknown"), outcomes)
            assertEquals(1, service.runs)
        }

        @Test
        fun `a repetition at the same entry gets the same answer`() {
            val registry = registry("entry-1")
            assertEquals(listOf("run 1", "run 1"), List(2) { registry.runOnce(call(), KEY, service).summary() })
        }

        @Test
        fun `an operation that did not reach the service is sent again under the same claim`() {
            val registry = registry("entry-1")
            val service = FakeService(UNREACHED)
            val outcomes = List(2) { registry.runOnce(call(), KEY, service).summary() }
            assertEquals(listOf("no_runner", "run 1"), outcomes)
        }

        @Test
        fun `the key of one operation is refused for another at every entry`() {
            registry("entry-1").runOnce(call(), KEY, service)
            val second = registry("entry-2")
            assertEquals("idempotency_key_reused", second.runOnce(call("needle-2"), KEY, service).summary())
            assertEquals("outcome_unknown", second.runOnce(call(), KEY, service).summary())
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `a claim whose answer was lost is read back`() {
            val registry = registry("entry-1", storeWith(beforeWrite = { store.loseAnswers(1) }))
            assertEquals("run 1", registry.runOnce(call(), KEY, service).summary())
        }

        @Test
        fun `without the store nothing is sent, and the same entry can send later`() {
            val registry = registry("entry-1")
            store.isDown = true
            assertEquals("claim_not_possible", registry.runOnce(call(), KEY, service).summary())
            assertEquals(0, service.runs)
            store.isDown = false
            time += 1.minutes
            assertEquals("run 1", registry.runOnce(call(), KEY, service).summary())
        }

        @Test
        fun `a claim that was written during a long loss of answers is used later`() {
            val registry = registry(
                "entry-1",
                storeWith(beforeWrite = { store.loseAnswers(1) }, afterWrite = { store.isDown = true }),
            )
            assertEquals("claim_not_possible", registry.runOnce(call(), KEY, service).summary())
            store.isDown = false
            assertEquals("run 1", registry.runOnce(call(), KEY, service).summary())
            assertEquals("outcome_unknown", registry("entry-2").runOnce(call(), KEY, service).summary())
        }

        @Test
        fun `a claimer that was paused for longer than the limit does not send`() {
            for (pause in listOf(2.minutes, 30.hours)) {
                val key = RequestKey("booking $pause")
                val registry = registry("entry-1", storeWith(afterWrite = { time += pause }))
                assertEquals("claim_not_possible", registry.runOnce(call(), key, service).summary())
            }
            assertEquals(0, service.runs)
        }

        @Test
        fun `a claimer that is paused before its write finds the claim of another`() {
            val other = { registry("entry-2").runOnce(call(), KEY, service) }
            val registry = registry("entry-1", storeWith(beforeWrite = { other() }))
            assertEquals("outcome_unknown", registry.runOnce(call(), KEY, service).summary())
            assertEquals(1, service.runs)
        }
    }
}

class ServiceClientTest {
    private fun clientTo(port: Int): ServiceClient {
        val directory = InMemoryInstanceDirectory()
        directory.announce(
            ListedInstance(
                id = InstanceId("service-1"),
                kind = InstanceKind.SERVICE,
                address = "http://127.0.0.1:$port",
                failureDomain = FailureDomainId("domain-1"),
                service = ServiceId("bookings"),
            ),
        )
        return ServiceClient(FleetView(directory).apply { refresh() }, OkHttpClient())
    }

    @Test
    fun `a service that asks to be called again at once is called once`() {
        val calls = AtomicInteger()
        val server = startHttpServer("127.0.0.1", 0) {
            post("/operations/book") { context ->
                calls.incrementAndGet()
                context.status(503).header("Retry-After", "0").result("busy")
            }
        }
        val result = clientTo(server.port()).send(call())
        server.stop()
        assertEquals(503, assertIs<Either.Right<ServiceAnswer>>(result).value.status)
        assertEquals(1, calls.get())
    }

    @Test
    fun `a second answer to one call is not taken for the answer to the next`() {
        ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1")).use { server ->
            thread(isDaemon = true) { serveTwice(server) }
            val client = clientTo(server.localPort)
            val answers = List(2) { number -> client.send(call("body-$number")) }
            assertEquals(listOf("body-0", "body-1"), answers.map { it.summary() })
        }
    }

    /** Answers each call with its body, and once more with something else. */
    private fun serveTwice(server: ServerSocket) = try {
        while (true) server.accept().let { socket -> thread(isDaemon = true) { socket.use(::serveTwice) } }
    } catch (_: SocketException) {
        // The test has ended.
    }

    private fun serveTwice(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader()
        while (true) {
            val head = generateSequence(reader::readLine).takeWhile(String::isNotEmpty).toList()
            val length = head.firstOrNull { it.startsWith("Content-Length: ") }?.substringAfter(' ')?.toInt() ?: return
            val body = CharArray(length).also { reader.read(it) }.concatToString()
            val answers = listOf(body, "stray ").map { "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n$it" }
            socket.getOutputStream().write(answers.joinToString("").encodeToByteArray())
        }
    }

    /** Answers each call with what [answer] writes, as soon as its head has been read. */
    private fun <R> withService(answer: (Socket) -> Unit, use: (ServiceClient) -> R): R =
        ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1")).use { server ->
            thread(isDaemon = true) {
                try {
                    while (true) server.accept().use { socket -> socket.answerHead(answer) }
                } catch (_: SocketException) {
                    // The test has ended.
                }
            }
            use(clientTo(server.localPort))
        }

    private fun Socket.answerHead(answer: (Socket) -> Unit) {
        generateSequence(getInputStream().bufferedReader()::readLine).takeWhile(String::isNotEmpty).count()
        answer(this)
    }

    private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))

    private fun Socket.finishSending() {
        shutdownOutput()
        getInputStream().transferTo(OutputStream.nullOutputStream())
    }

    private fun upload() = call("a".repeat(UPLOAD_BYTES))

    /** A service answers a call before it has read it. */
    @Nested
    inner class EarlyAnswers {
        @Test
        fun `a part of an answer that is reset is not taken for a whole one`() {
            val answer = { socket: Socket ->
                socket.send("HTTP/1.1 200 OK\r\n\r\nthe first part")
                Thread.sleep(BYTES_ARRIVE_MILLISECONDS)
                socket.setSoLinger(true, 0)
                socket.close()
            }
            val result = withService(answer) { it.send(upload()) }
            assertIs<MayHaveRun>(result.leftOrNull(), result.summary())
        }

        @Test
        fun `a whole answer is passed on`() {
            for (framing in listOf("", "Content-Length: 12\r\n")) {
                val answer = { socket: Socket ->
                    socket.send("HTTP/1.1 200 OK\r\n$framing\r\ntwelve bytes")
                    socket.finishSending()
                }
                assertEquals("twelve bytes", withService(answer) { it.send(upload()) }.summary())
            }
        }
    }

    /** A service sends an answer whose head HTTP does not allow. */
    @Nested
    inner class MalformedHeads {
        private fun accepted(heads: List<String>) = heads.filter { head ->
            val answer = { socket: Socket ->
                socket.send("$head\r\n\r\ntwelve bytes")
                socket.finishSending()
            }
            val result = withService(answer) { it.send(call()) }
            result.leftOrNull() !is MayHaveRun
        }

        @Test
        fun `a status line that is not valid is no answer`() {
            val lines = listOf("000 None", "099 Low", "20 OK", "0200 OK", "2000 OK", "600 High", "999 High")
            val heads = lines.map { "HTTP/1.1 $it" } + "ICY/1.1 200 OK" + "HTTP/2.0 200 OK" + "HTTP/1.1 +20 OK"
            assertEquals(emptyList(), accepted(heads.map { "$it\r\nContent-Length: 12" }))
        }

        @Test
        fun `a field name that is not a token is no answer`() {
            val fields = listOf(
                "X Other: 1", "X-Other : 1", "X-Other 1", " X-Other: 1", "X-\u0001Other: 1", "X-Other: a\r\n b",
                "Content-Length : 6", "Content Length: 6", "Content-Length: 12\r\nContent-Length : 6",
            )
            assertEquals(emptyList(), accepted(fields.map { "HTTP/1.1 200 OK\r\n$it" }))
        }

        @Test
        fun `a valid head is an answer`() {
            val heads = listOf("HTTP/1.1 200 OK\r\nContent-Length: 12", "HTTP/1.0 200\r\nx_other!#:1", "HTTP/1.1 599 ")
            assertEquals(heads, accepted(heads))
        }
    }

    private companion object {
        const val BACKLOG = 10

        /** More than the sockets of a connection hold together. */
        const val UPLOAD_BYTES = 16 * 1024 * 1024

        /** Longer than bytes take to be read on one machine. */
        const val BYTES_ARRIVE_MILLISECONDS = 100L
    }
}
