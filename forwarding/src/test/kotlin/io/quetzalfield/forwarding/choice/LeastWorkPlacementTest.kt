package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointLoad
import io.quetzalfield.forwarding.endpoints.PromptPart
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ModelId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private const val SHARED_TOKENS = 13_300
private const val OWN_TOKENS = 3_700

class LeastWorkPlacementTest {
    private val timeSource = TestTimeSource()
    private val endpoints = List(6) { Endpoint(description("runner-$it", port = it + 1)) }

    private fun work(shared: Int, own: Int) = Work(
        model = ModelId("small"),
        prompt = listOf(PromptPart("shared-$shared", SHARED_TOKENS), PromptPart("own-$own", OWN_TOKENS)),
    )

    private fun place(work: Work, seed: Int = 1, candidates: List<Endpoint> = endpoints) =
        LeastWorkPlacement(Random(seed)).choose(work, candidates, timeSource.markNow())?.endpoint

    @Nested
    inner class SharedParts {
        /** Load pattern: every instance sends requests about one thing, without knowing of the others' requests. */
        @Test
        fun `instances that decide independently send one shared part to one endpoint`() {
            val chosen = (1..20).map { instance -> place(work(shared = 3, own = instance), seed = instance) }
            assertEquals(1, chosen.distinct().size)
        }

        /** Load pattern: several instances send one shared part to its home, each of which would count it as unread. */
        @Test
        fun `a shared part counts as read at its home, also for an instance that has not sent it there`() {
            val placement = LeastWorkPlacement(
                Random(1),
            ).choose(work(shared = 3, own = 1), endpoints, timeSource.markNow())
            assertEquals(OWN_TOKENS, placement?.tokensToRead)
        }

        @Test
        fun `many shared parts are spread over the endpoints`() {
            val chosen = (1..200).map { place(work(shared = it, own = it)) }
            assertEquals(endpoints.toSet(), chosen.toSet())
        }

        @Test
        fun `a request goes elsewhere when its home has more work waiting than the part costs`() {
            val home = checkNotNull(place(work(shared = 3, own = 1)))
            home.unreadTokens = SHARED_TOKENS * 2L
            assertNotEquals(home, place(work(shared = 3, own = 2)))
        }
    }

    /** Load pattern: callers ask for more than all endpoints can read, and each part that is read again adds to it. */
    @Nested
    inner class ScarceCapacity {
        private fun placeScarce(work: Work) =
            LeastWorkPlacement(Random(1), readWeight = 4).choose(work, endpoints, timeSource.markNow())?.endpoint

        @Test
        fun `a request waits at its home rather than have the part read again`() {
            val home = checkNotNull(place(work(shared = 3, own = 1)))
            home.unreadTokens = SHARED_TOKENS * 2L
            assertEquals(home, placeScarce(work(shared = 3, own = 2)))
        }

        @Test
        fun `it goes elsewhere when the wait exceeds the cost of reading for all`() {
            val home = checkNotNull(place(work(shared = 3, own = 1)))
            home.unreadTokens = SHARED_TOKENS * 4L + 1
            assertNotEquals(home, placeScarce(work(shared = 3, own = 2)))
        }
    }

    /** Load pattern: several instances choose at the same time, before a report of the endpoints shows it. */
    @Nested
    inner class WorkOfOtherInstances {
        private val peer = Incarnation(InstanceId("front-2"), "start")

        @Test
        fun `an endpoint that has to read prompts of another instance is avoided`() {
            endpoints.drop(1).forEach { it.peers.update(peer, 1, OWN_TOKENS.toLong(), timeSource.markNow()) }
            assertEquals(endpoints.first(), place(Work(ModelId("small"), listOf(PromptPart("own", OWN_TOKENS)))))
        }

        @Test
        fun `a plain call goes to the endpoint without calls of other instances`() {
            endpoints.dropLast(1).forEach { it.peers.update(peer, 1, 0, timeSource.markNow()) }
            assertEquals(endpoints.last(), place(Work()))
        }

        @Test
        fun `a shared part stays at its home while the work of another instance there costs less`() {
            val home = checkNotNull(place(work(shared = 3, own = 1)))
            home.peers.update(peer, 1, OWN_TOKENS.toLong(), timeSource.markNow())
            assertEquals(home, place(work(shared = 3, own = 2)))
        }
    }

    @Nested
    inner class PlainCalls {
        @Test
        fun `the endpoint with the fewest running requests gets the call`() {
            endpoints.forEach { it.inFlight = 2 }
            endpoints[4].inFlight = 0
            assertEquals(endpoints[4], place(Work()))
        }

        @Test
        fun `a report of waiting requests counts while it is fresh`() {
            endpoints.forEach {
                it.load = EndpointLoad(running = 4, waiting = 3, slots = 4)
                it.loadReportedAt = timeSource.markNow()
            }
            endpoints[2].load = EndpointLoad(running = 1, waiting = 0, slots = 4)
            assertEquals(endpoints[2], place(Work()))
            timeSource += 10.seconds
            endpoints.forEach { it.inFlight = 1 }
            endpoints[5].inFlight = 0
            assertEquals(endpoints[5], place(Work()))
        }

        @Test
        fun `an endpoint that failed is avoided, unless it is the only one`() {
            endpoints[0].recordFailure(timeSource.markNow())
            repeat(20) { assertNotEquals(endpoints[0], place(Work(), seed = it)) }
            assertEquals(endpoints[0], place(Work(), candidates = endpoints.take(1)))
        }

        @Test
        fun `without endpoints there is no choice`() {
            assertNull(place(Work(), candidates = emptyList()))
        }
    }
}
