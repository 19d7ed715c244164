package io.quetzalfield.entry

import io.quetzalfield.model.RequestId
import org.junit.jupiter.api.Nested
import java.util.concurrent.CyclicBarrier
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class BoundedRequestJournalTest {
    private val retry = RequestEvent.Retried(RetryReason.RUNNER_REFUSED)
    private val lost = RequestEvent.Retried(RetryReason.CONNECTION_LOST)

    private fun id(number: Int) = RequestId("request-$number")

    @Nested
    inner class Bounds {
        @Test
        fun `no more requests are kept than the capacity`() {
            for ((capacity, shards) in listOf(1 to 16, 16 to 4, 100 to 16)) {
                val journal = BoundedRequestJournal(capacity, shardCount = shards)
                repeat(1_000) { journal.record(id(it), retry) }
                assertTrue(journal.latest(1_000).size <= capacity)
            }
        }

        @Test
        fun `the oldest request of a shard is evicted first`() {
            val journal = BoundedRequestJournal(capacity = 2, shardCount = 1)
            repeat(3) { journal.record(id(it), retry) }
            assertNull(journal.events(id(0)))
            assertEquals(listOf(id(2), id(1)), journal.latest(10))
        }

        @Test
        fun `the last event is kept when there are too many`() {
            val journal = BoundedRequestJournal(largestEventCount = 3)
            repeat(10) { journal.record(id(1), retry) }
            journal.record(id(1), lost)
            assertEquals(listOf(retry, retry, lost), journal.events(id(1))?.map { it.event })
        }
    }

    @Nested
    inner class Threads {
        @Test
        fun `events of many threads are all kept`() {
            val journal = BoundedRequestJournal(capacity = 1_024)
            val begin = CyclicBarrier(4)
            val writers = List(4) {
                thread {
                    begin.await()
                    repeat(200) { number -> journal.record(id(number % 10), retry) }
                }
            }
            writers.forEach(Thread::join)
            assertEquals(List(10) { 64 }, List(10) { journal.events(id(it))?.size })
        }
    }
}
