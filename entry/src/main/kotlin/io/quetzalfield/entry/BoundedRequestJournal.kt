package io.quetzalfield.entry

import io.quetzalfield.model.RequestId
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Clock
import kotlin.time.Instant

/** An event with the wall-clock time at which it was recorded. */
public data class TimedRequestEvent(val at: Instant, val event: RequestEvent)

/**
 * Keeps the events of the latest requests in memory. Each shard keeps an equal part of [capacity] under its own lock
 * and evicts its oldest request first, so that about [capacity] requests are kept in total and never more.
 *
 * @param capacity largest number of requests kept.
 * @param largestEventCount largest number of events kept per request; each further event replaces the last one kept.
 */
public class BoundedRequestJournal(
    private val capacity: Int = DEFAULT_CAPACITY,
    private val largestEventCount: Int = DEFAULT_EVENT_COUNT,
    shardCount: Int = DEFAULT_SHARD_COUNT,
    private val clock: Clock = Clock.System,
) : RequestJournal {
    private class JournaledRequest(val id: RequestId, val order: Long) {
        val events = mutableListOf<TimedRequestEvent>()
    }

    private class Shard(private val capacity: Int) {
        private val requests = LinkedHashMap<RequestId, JournaledRequest>()

        @Synchronized
        fun record(id: RequestId, event: TimedRequestEvent, largestEventCount: Int, nextOrder: () -> Long) {
            val events = requests.getOrPut(id) { JournaledRequest(id, nextOrder()) }.events
            if (events.size == largestEventCount) events.removeLast()
            events += event
            if (requests.size > capacity) requests.remove(requests.keys.first())
        }

        @Synchronized
        fun events(id: RequestId): List<TimedRequestEvent>? = requests[id]?.events?.toList()

        @Synchronized
        fun latest(limit: Int): List<Pair<Long, RequestId>> =
            requests.values.toList().takeLast(limit).map { it.order to it.id }
    }

    private val order = AtomicLong()
    private val shards = List(minOf(shardCount, capacity)) { Shard(capacity / minOf(shardCount, capacity)) }

    override fun record(request: RequestId, event: RequestEvent) {
        val timed = TimedRequestEvent(clock.now(), event)
        shard(request).record(request, timed, largestEventCount, order::incrementAndGet)
    }

    /** Returns the events of [request] in order; `null` if it is unknown or was evicted. */
    public fun events(request: RequestId): List<TimedRequestEvent>? = shard(request).events(request)

    /** Returns at most [limit] of the latest requests, newest first. */
    public fun latest(limit: Int): List<RequestId> =
        shards.flatMap { it.latest(limit) }.sortedByDescending { it.first }.take(limit).map { it.second }

    private fun shard(request: RequestId): Shard = shards[Math.floorMod(request.hashCode(), shards.size)]

    private companion object {
        const val DEFAULT_CAPACITY = 4_096
        const val DEFAULT_EVENT_COUNT = 64
        const val DEFAULT_SHARD_COUNT = 16
    }
}
