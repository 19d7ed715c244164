package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointLoad
import io.quetzalfield.forwarding.endpoints.PromptPart
import io.quetzalfield.forwarding.endpoints.description
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
        LeastWorkPlacement(Random(seed)).choose(work, candidates, timeSource.markNow())

    @Nested
    inner class SharedParts {
        /** The pattern: every instance sends requests about one thing, each without the others' knowledge. */
        @Test
        fun `instances that decide apart send one shared part to one endpoint`() {
            val chosen = (1..20).map { instance -> place(work(shared = 3, own = instance), seed = instance) }
            assertEquals(1, chosen.distinct().size)
        }

        @Test
        fun `many shared parts spread over the endpoints`() {
            val chosen = (1..200).map { place(work(shared = it, own = it)) }
            assertEquals(endpoints.toSet(), chosen.toSet())
        }

        @Test
        fun `a home with more work waiting than the part costs loses the request`() {
            val home = checkNotNull(place(work(shared = 3, own = 1)))
            home.unreadTokens = SHARED_TOKENS * 2L
            assertNotEquals(home, place(work(shared = 3, own = 2)))
        }
    }

    @Nested
    inner class PlainCalls {
        @Test
        fun `the endpoint with the least running gets the call`() {
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
        fun `an endpoint that failed is passed over, unless it is the only one`() {
            endpoints[0].failed(timeSource.markNow())
            repeat(20) { assertNotEquals(endpoints[0], place(Work(), seed = it)) }
            assertEquals(endpoints[0], place(Work(), candidates = endpoints.take(1)))
        }

        @Test
        fun `without endpoints there is no choice`() {
            assertNull(place(Work(), candidates = emptyList()))
        }
    }
}
