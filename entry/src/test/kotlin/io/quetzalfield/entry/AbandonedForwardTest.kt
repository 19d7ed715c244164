package io.quetzalfield.entry

import io.grpc.stub.ServerCallStreamObserver
import io.quetzalfield.peer.wire.ForwardReply
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Load pattern: on a busy machine an entry gives up the requests that it forwarded and runs them itself. */
class AbandonedForwardTest {
    private val fleet = EmbeddedFleet(runnerCount = 1)

    @AfterEach
    fun stop() = fleet.close()

    /** The call of an entry that cancels it once it was looked at [cancelledAfter] times. */
    private class ForwardCall(private var cancelledAfter: Int) : ServerCallStreamObserver<ForwardReply>() {
        val replies = mutableListOf<ForwardReply>()

        override fun isCancelled(): Boolean = cancelledAfter-- <= 0

        override fun onNext(value: ForwardReply) {
            replies += value
        }

        override fun isReady(): Boolean = true

        override fun setOnCancelHandler(onCancelHandler: Runnable?) = Unit

        override fun setOnReadyHandler(onReadyHandler: Runnable?) = Unit

        override fun setCompression(compression: String?) = Unit

        override fun setMessageCompression(enable: Boolean) = Unit

        override fun disableAutoInboundFlowControl() = Unit

        override fun request(count: Int) = Unit

        override fun onError(error: Throwable?) = Unit

        override fun onCompleted() = Unit
    }

    private fun writer(call: ForwardCall, isStreamed: Boolean) =
        CompletionWriter(PeerAnswerChannel(call), isStreamed, requestId = "request")

    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a request that its sender gives up is not billed`(isStreamed: Boolean) {
        val call = ForwardCall(cancelledAfter = 5)
        assertFailsWith<CallerDisconnectedException> { fleet.ask(writer(call, isStreamed)) }
        assertEquals(0, fleet.billedAnswers)
    }

    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `a request whose sender waits is billed`(isStreamed: Boolean) {
        assertTrue(fleet.ask(writer(ForwardCall(cancelledAfter = 1_000), isStreamed)).isRight())
        assertEquals(1, fleet.billedAnswers)
    }

    @Test
    fun `a request that its sender gave up before it came is not acknowledged`() {
        val call = ForwardCall(cancelledAfter = 0)
        assertFailsWith<CallerDisconnectedException> { PeerAnswerChannel(call).acknowledge() }
        assertEquals(emptyList(), call.replies)
    }
}
