package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.forwarding.choice.LeastWorkPlacement
import io.quetzalfield.forwarding.choice.Work
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/** Seeded histories of a service some of whose endpoints reset each call at once for six seconds. */
class EndpointTrustHistoryTest {
    private class Event(val at: ComparableTimeMark, val action: () -> Unit)

    private class History(seed: Int, private val size: Int, private val badCount: Int) {
        private val random = Random(seed)
        private val time = TestTimeSource()
        private val start = time.markNow()
        private val events = PriorityQueue<Event>(compareBy { it.at })
        private val instances = List(size) { Instance(it) }
        private val now get() = time.markNow()
        private val isBadTime get() = now - start in BadFrom..BadUntil

        /** Calls that reached a bad endpoint while it reset them. */
        val sentToBad = IntArray(ENDPOINTS)
        var sentInBadTime = 0
        var sentLater = 0
        var sentLaterToBad = 0

        private fun after(delay: Duration, action: () -> Unit) {
            events += Event(now + delay, action)
        }

        private fun milliseconds(range: IntRange) = random.nextInt(range.first, range.last + 1).milliseconds

        inner class Instance(private val number: Int) {
            private val placement = LeastWorkPlacement(random)
            private val endpoints = List(ENDPOINTS) { endpoint ->
                val turn = { TrialTurn((number - endpoint).mod(size), size) }
                Endpoint(description(endpoint), EndpointTrust(turn) { tell(endpoint, it) })
            }

            private fun tell(endpoint: Int, change: TrustChange) {
                val at = now
                for (other in instances) {
                    if (other === this || random.nextDouble() < LOSS) continue
                    after(milliseconds(5..30)) { other.endpoints[endpoint].trust.learn(change, at, now) }
                }
            }

            fun send() {
                val endpoint = checkNotNull(placement.choose(Work(), endpoints, now)).endpoint
                val position = endpoints.indexOf(endpoint)
                val isFailing = position < badCount && isBadTime
                count(position, isFailing)
                endpoint.trust.recordSend(now)
                endpoint.inFlight++
                val sentAt = now
                after(if (isFailing) 2.milliseconds else milliseconds(20..80)) {
                    endpoint.inFlight--
                    if (isFailing) endpoint.recordFailure(now) else endpoint.recordSuccess(sentAt)
                }
            }

            fun arrive() {
                send()
                after(milliseconds(0..(2_000 / REQUESTS_PER_SECOND))) { arrive() }
            }
        }

        private fun count(position: Int, isFailing: Boolean) {
            if (isFailing) sentToBad[position]++
            if (isBadTime) sentInBadTime++
            if (now - start < BadUntil + Recovery) return
            sentLater++
            if (position < badCount) sentLaterToBad++
        }

        fun play(): History {
            instances.forEach { after(milliseconds(0..100)) { it.arrive() } }
            while (true) {
                val next = events.poll() ?: break
                if (next.at - start >= Length) break
                if (next.at > now) time += next.at - now
                next.action()
            }
            return this
        }

        /** Share of the bad endpoints in the calls after their recovery, in relation to their number. */
        val shareLater: Double get() = sentLaterToBad.toDouble() / sentLater * ENDPOINTS / badCount

        override fun toString() = "size $size: to bad ${sentToBad.take(badCount)}, share later $shareLater"
    }

    @ParameterizedTest
    @CsvSource("4, 1", "4, 2", "4, 3", "26, 1", "26, 2", "26, 3")
    fun `a third that resets each call gets few, and its share soon after`(size: Int, seed: Int) {
        val history = History(seed, size, badCount = ENDPOINTS / 3).play()
        assertTrue(history.sentToBad.all { it <= size + TRIALS }, "$history")
        assertTrue(history.shareLater >= 0.8, "$history")
    }

    @ParameterizedTest
    @CsvSource("4, 1", "26, 1")
    fun `calls still go out when all endpoints fail`(size: Int, seed: Int) {
        val history = History(seed, size, badCount = ENDPOINTS).play()
        assertTrue(history.sentInBadTime >= size * REQUESTS_PER_SECOND * 4, "${history.sentInBadTime}")
        assertTrue(history.sentLater >= size * REQUESTS_PER_SECOND, "${history.sentLater}")
    }

    private companion object {
        const val ENDPOINTS = 12
        const val REQUESTS_PER_SECOND = 20
        const val LOSS = 0.1
        val BadFrom = 3.seconds
        val BadUntil = 9.seconds
        val Recovery = 2.seconds
        val Length = 14.seconds

        /** Calls to an endpoint in six seconds besides the first one of each instance. */
        const val TRIALS = 12

        fun description(number: Int) = EndpointDescription(
            id = EndpointId("runner-$number"),
            service = ServiceId("shop"),
            address = HostPort("10.0.0.1", number + 1),
            failureDomain = "a",
            version = VersionId("v1"),
            capacity = 16,
        )
    }
}
