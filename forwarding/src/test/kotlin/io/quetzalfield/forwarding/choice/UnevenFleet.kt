package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.EndpointLoad
import io.quetzalfield.forwarding.endpoints.PromptPart
import io.quetzalfield.forwarding.endpoints.SpeedSample
import io.quetzalfield.forwarding.endpoints.description
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ModelId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** A kind of request: tokens of its shared and own parts, requests per second, objective of the first event in ms. */
internal class Kind(val name: String, val shared: Int, val own: Int, val perSecond: Double, val objective: Int)

/** What a replay showed: starts within their objective, and reading time of the busiest endpoint over the mean. */
internal data class Outcome(val inTime: Double, val busiest: Double, val choices: List<Int>) {
    override fun toString() = "$inTime in time, busiest $busiest"
}

/**
 * Replays the load of a fleet under a paused clock: [count] instances whose knowledge of one another is late by 100 to
 * 500 ms, and endpoints that read prompts one after the other. A third of them is 1.7 times slower, a quarter by turns
 * 2.5 times slower for 600 ms, which they state with the first event, and in the middle third of the time there are 2.2
 * times as many requests of one kind.
 */
internal class UnevenFleet(
    private val count: Int,
    private val kinds: List<Kind>,
    seed: Int,
    private val statesTimeFactor: Boolean,
    makePlacement: (AnswerTimeEstimates, Random) -> EndpointPlacement,
) {
    private inner class Instance(index: Int) {
        val random = Random(index)
        val delay = random.nextInt(100, 500)
        val endpoints = List(ENDPOINTS) { Endpoint(description("runner-$it", port = it + 1, capacity = SLOTS)) }
        val estimates = AnswerTimeEstimates()
        val placement = make(estimates, random)
    }

    private class Snapshot(val at: Int, val running: IntArray, val unread: LongArray)

    private class Event(val at: Int, val run: () -> Unit)

    private val make = makePlacement
    private val random = Random(seed)
    private val time = TestTimeSource()
    private var now = 0
    private val instances = List(count, ::Instance)
    private val others = Incarnation(InstanceId("others"), "start")
    private val events = PriorityQueue<Event>(compareBy { it.at })
    private val snapshots = ArrayDeque<Snapshot>()
    private var speeds: List<SpeedSample?> = List(ENDPOINTS) { null }
    private val running = IntArray(ENDPOINTS)
    private val unread = LongArray(ENDPOINTS)
    private val freeAt = DoubleArray(ENDPOINTS)
    private val readTime = DoubleArray(ENDPOINTS)
    private val memories = List(ENDPOINTS) { LinkedHashSet<String>() }
    private var starts = 0
    private var startsInTime = 0
    private val choices = ArrayList<Int>()

    private fun speedOf(endpoint: Int) = if (endpoint % 3 == 0) 1.7 else 1.0

    private fun timeFactor(endpoint: Int, at: Int) = if ((at / TURN + endpoint / 3) % 4 == 0) 2.5 else 1.0

    fun replay(): Outcome {
        for (kind in kinds) scheduleNext(kind)
        every(SNAPSHOT_PERIOD) { snapshots.addLast(Snapshot(now, running.clone(), unread.clone())) }
        every(SPEED_PERIOD, ::exchangeSpeeds)
        while (true) {
            val event = events.poll() ?: break
            time += (event.at - now).milliseconds
            now = event.at
            event.run()
        }
        return Outcome(startsInTime.toDouble() / starts, readTime.max() / readTime.average(), choices)
    }

    private fun every(period: Int, run: () -> Unit) {
        for (at in 0..LENGTH step period) events += Event(at, run)
    }

    private fun scheduleNext(kind: Kind) {
        val isBurst = kind === kinds.first() && now in LENGTH / 3..LENGTH * 2 / 3
        val rate = kind.perSecond * if (isBurst) 2.2 else 1.0
        val at = now + 1 + (-ln(1 - random.nextDouble()) * 1_000 / rate).toInt()
        if (at < LENGTH) events += Event(at) { arrive(kind).also { scheduleNext(kind) } }
    }

    private fun exchangeSpeeds() {
        speeds = List(ENDPOINTS) { index ->
            val samples = instances.mapNotNull { it.endpoints[index].speed.learnt(time.markNow()) }
            val weight = samples.sumOf(SpeedSample::weight)
            if (weight == 0.0) null else SpeedSample(samples.sumOf { it.logarithm * it.weight } / weight, weight)
        }
    }

    private fun tellLateNews(instance: Instance) {
        val snapshot = snapshots.lastOrNull { it.at <= now - instance.delay } ?: return
        instance.endpoints.forEachIndexed { index, endpoint ->
            val otherRunning = (snapshot.running[index] - endpoint.inFlight).coerceAtLeast(0)
            val otherUnread = (snapshot.unread[index] - endpoint.unreadTokens).coerceAtLeast(0)
            endpoint.peers.update(others, otherRunning, otherUnread, time.markNow())
            speeds[index]?.let { endpoint.speed.update(others, it, time.markNow()) }
        }
    }

    private fun arrive(kind: Kind) {
        val instance = instances.random(random)
        val part = "${kind.name}-${(PARTS * random.nextDouble() * random.nextDouble()).toInt()}"
        val prompt = listOf(PromptPart(part, kind.shared), PromptPart("own-$now-${random.nextInt()}", kind.own))
        tellLateNews(instance)
        val placement = checkNotNull(instance.placement.choose(Work(Model, prompt), instance.endpoints, time.markNow()))
        val endpoint = placement.endpoint
        val index = instance.endpoints.indexOf(endpoint)
        val isKept = memories[index].remove(part)
        memories[index] += part
        if (memories[index].size > KEPT_PARTS) memories[index].remove(memories[index].first())
        choices += index
        endpoint.cachedParts.add(Model, prompt)
        endpoint.inFlight++
        endpoint.unreadTokens += placement.tokensToRead
        running[index]++
        unread[index] += placement.tokensToRead.toLong()
        val tokens = kind.own + if (isKept) 0 else kind.shared
        val slowness = speedOf(index) * timeFactor(index, maxOf(now, freeAt[index].toInt()))
        val reading = tokens / TOKENS_PER_MS * slowness * (1 + running[index].toDouble() / SLOTS)
        freeAt[index] = maxOf(now.toDouble(), freeAt[index]) + reading
        readTime[index] += reading
        scheduleAnswer(instance, placement, index, kind)
    }

    private fun scheduleAnswer(instance: Instance, placement: Placement, index: Int, kind: Kind) {
        val sentAt = now
        val endpoint = placement.endpoint
        val startsAt = freeAt[index].toInt() + 1
        events += Event(startsAt) {
            starts++
            if (now - sentAt <= kind.objective) startsInTime++
            endpoint.unreadTokens -= placement.tokensToRead
            unread[index] -= placement.tokensToRead.toLong()
            endpoint.load = EndpointLoad(
                running = running[index],
                waiting = 0,
                slots = SLOTS,
                timeFactor = if (statesTimeFactor) speedOf(index) * timeFactor(index, now) else null,
            )
            endpoint.loadReportedAt = time.markNow()
            placement.expected?.let { instance.estimates.record(it, (now - sentAt).milliseconds, time.markNow()) }
        }
        events += Event(startsAt + (ANSWER_MS * speedOf(index)).toInt()) {
            endpoint.inFlight--
            running[index]--
        }
    }

    private companion object {
        const val ENDPOINTS = 42
        const val SLOTS = 64
        const val LENGTH = 20_000
        const val TURN = 600
        const val SNAPSHOT_PERIOD = 50
        const val SPEED_PERIOD = 1_000
        const val PARTS = 40
        const val KEPT_PARTS = 30
        const val TOKENS_PER_MS = 36.7
        const val ANSWER_MS = 1_200
        val Model = ModelId("small")
    }
}
