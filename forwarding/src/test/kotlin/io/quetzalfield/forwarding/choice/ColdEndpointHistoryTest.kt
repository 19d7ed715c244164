package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.InstanceId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

/**
 * Load pattern: an endpoint comes back empty and cold, and every instance has requests that it would send there, while
 * instances end and start again and lists are late.
 */
class ColdEndpointHistoryTest {
    private companion object {
        const val COLD_PER_SECOND = 6.9
        const val SEEDS = 5

        /** Requests in one second that a cold endpoint gets at most. */
        const val MOST_IN_A_SECOND = (COLD_PER_SECOND * 1.5 + 5).toInt()

        val Step = 20.milliseconds
        val ColdTime = 3.seconds

        /** Time in which an instance that ended still has its part. */
        val PartRetention = 5.seconds
    }

    private class Instance(
        val id: InstanceId,
        private val time: TestTimeSource,
        private val coldRate: Double?,
        private var list: Set<InstanceId>,
    ) {
        private lateinit var limits: EndpointLimits
        private lateinit var endpoint: Endpoint
        private var sharers = LimitSharers(id, list)
        var endedAt: ComparableTimeMark? = null

        init {
            start()
        }

        fun start() {
            endedAt = null
            endpoint = Endpoint(description("runner-1"))
            endpoint.recordCold(ColdTime * 3, time.markNow())
            limits = EndpointLimits(time, coldRate = { coldRate }) { sharers }
        }

        fun read(list: Set<InstanceId>) {
            this.list = list
            sharers = LimitSharers(id, list)
        }

        fun trySend(): Boolean = (endedAt == null && limits.mayReceive(endpoint)).also {
            if (it) limits.recordSend(endpoint)
        }
    }

    private fun sendsOf(seed: Int, size: Int, coldRate: Double?): List<Duration> {
        val random = Random(seed)
        val time = TestTimeSource()
        val begin = time.markNow()
        val ids = (1..size).mapTo(LinkedHashSet()) { InstanceId("front-$it") }
        val instances = ids.map { Instance(it, time, coldRate, ids) }
        val sends = mutableListOf<Duration>()
        while (begin.elapsedNow() < ColdTime * 2) {
            instances.shuffled(random).forEach { if (it.trySend()) sends += begin.elapsedNow() }
            if (random.nextDouble() < 0.02) instances.random(random).run { endedAt = endedAt ?: time.markNow() }
            if (random.nextDouble() < 0.02) instances.firstOrNull { it.endedAt != null }?.start()
            val listed = instances.filter { instance ->
                instance.endedAt.let { it == null || it.elapsedNow() < PartRetention }
            }
            if (random.nextDouble() < 0.1) instances.random(random).read(listed.mapTo(LinkedHashSet()) { it.id })
            time += Step
        }
        return sends
    }

    private fun mostInASecond(sends: List<Duration>) =
        sends.indices.maxOfOrNull { first -> sends.drop(first).count { it - sends[first] < 1.seconds } } ?: 0

    @ParameterizedTest
    @CsvSource("1", "4", "26", "100")
    fun `all instances together keep the rate that a cold endpoint bears`(size: Int) {
        for (seed in 1..SEEDS) {
            val sends = sendsOf(seed, size, COLD_PER_SECOND * 0.9)
            assertTrue(sends.isNotEmpty(), "no instance sends anything, seed $seed")
            assertTrue(mostInASecond(sends) <= MOST_IN_A_SECOND, "${mostInASecond(sends)} in a second, seed $seed")
        }
    }

    @ParameterizedTest
    @CsvSource("26", "100")
    fun `without the limit they exceed it`(size: Int) {
        assertEquals(true, mostInASecond(sendsOf(seed = 1, size, coldRate = null)) > MOST_IN_A_SECOND)
    }
}
