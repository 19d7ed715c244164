package io.quetzalfield.forwarding

import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.junit.jupiter.api.AfterEach
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

class EventLoopTasksTest {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())

    @AfterEach
    fun stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).await()
    }

    @Test
    fun `a task that throws is still repeated`() {
        val runs = CountDownLatch(3)
        group.next().repeatEvery(5.milliseconds) {
            runs.countDown()
            error("an unexpected error")
        }
        assertTrue(runs.await(5, TimeUnit.SECONDS), "${runs.count} of 3 runs are missing")
    }
}
