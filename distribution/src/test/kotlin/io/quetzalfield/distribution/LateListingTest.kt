package io.quetzalfield.distribution

import com.sun.net.httpserver.HttpServer
import org.junit.jupiter.api.AfterEach
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.time.Duration.Companion.seconds

private const val STAND_INS = "io.quetzalfield.standins.MainKt"

/** Load pattern: the platform of a small fleet starts on a busy machine and answers its first calls too late. */
class LateListingTest {
    private val processes = Processes()
    private val calls = AtomicInteger()
    private val listed = AtomicInteger()
    private val platform = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0).apply {
        createContext("/v1/instances/") { exchange ->
            val isLate = calls.incrementAndGet() <= 2
            if (!isLate) listed.incrementAndGet()
            exchange.sendResponseHeaders(if (isLate) 504 else 200, -1)
            exchange.close()
        }
        start()
    }

    @AfterEach
    fun stop() {
        processes.close()
        platform.stop(0)
    }

    @Test
    fun `a runner is listed by a platform that does not answer its first calls`() {
        processes.start(
            "runner-1", STAND_INS, "runner", "--platform", "http://127.0.0.1:${platform.address.port}",
            "--instance", "runner-1", "--version", "advisor-small@1",
        )
        await("the runner is listed", 15.seconds) { listed.get() > 0 }
        assertContains(processes.log("runner-1"), "answered 504")
    }
}
