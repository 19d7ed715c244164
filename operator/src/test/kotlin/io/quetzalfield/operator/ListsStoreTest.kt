package io.quetzalfield.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.Plan
import io.quetzalfield.model.PlanId
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LISTS_KEY
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class ListsStoreTest {
    private val store = InMemoryKeyValueStore()
    private val lists = ListsStore(store)
    private val base = StoredLists(null, StoreRevision.Absent)

    private fun listsAt(revision: Long, plan: String) =
        OperatorLists(ListsRevision(revision), ClientPlanList(listOf(Plan(PlanId(plan), 0.5))), ModelList())

    private fun writeAsAnother(written: OperatorLists) {
        val former = store.read(LISTS_KEY).getOrNull()?.modified ?: StoreRevision.Absent
        store.compareAndSwap(LISTS_KEY, former, PlatformJson.encodeToString(OperatorLists.serializer(), written))
    }

    @Nested
    inner class Clashes {
        @Test
        fun `the second of two writers with the same base gets a clash with the lists of the first`() {
            val first = listsAt(1, "a")
            assertEquals(Unit.right(), lists.replace(base, first))
            assertEquals(ApplyError.Clash(first).left(), lists.replace(base, listsAt(1, "b")))
            assertEquals(first, lists.read().getOrNull()?.lists)
        }
    }

    @Nested
    inner class LostAnswers {
        @Test
        fun `a write whose answer is lost is recognised as done`() {
            store.loseAnswers(1)
            assertEquals(Unit.right(), lists.replace(base, listsAt(1, "a")))
        }

        @Test
        fun `the outcome is unknown when every answer is lost`() {
            store.loseAnswers(10)
            assertIs<ApplyError.OutcomeUnknown>(lists.replace(base, listsAt(1, "a")).leftOrNull())
        }

        @Test
        fun `a write that another operator may have replaced has an unknown outcome`() {
            val replaced = LosesOneAnswer(store) { writeAsAnother(listsAt(2, "b")) }
            val result = ListsStore(replaced).replace(base, listsAt(1, "a"))
            assertIs<ApplyError.OutcomeUnknown>(result.leftOrNull())
        }

        @Test
        fun `a write that lost against another operator is a clash`() {
            writeAsAnother(listsAt(1, "b"))
            store.loseAnswers(1)
            assertEquals(ApplyError.Clash(listsAt(1, "b")).left(), lists.replace(base, listsAt(1, "a")))
        }

        @Test
        fun `while the store is down nothing is written`() {
            store.isDown = true
            assertIs<ApplyError.StoreFailed>(lists.replace(base, listsAt(1, "a")).leftOrNull())
        }
    }

    @Nested
    inner class SlowStore {
        private val time = TestTimeSource()
        private var isLate = 0

        /** Does not answer the first [isLate] reads within the time of a call. */
        private val slow = object : KeyValueStore by store {
            override fun read(key: String): Either<KeyValueError, StoredValue?> =
                if (isLate-- > 0) KeyValueError.OutcomeUnknown("timeout").left() else store.read(key)
        }

        private fun readWithin(timeout: Duration) = ListsStore(slow, time, pause = time::plusAssign).readWithin(timeout)

        @Test
        fun `a read without an answer is tried again`() {
            writeAsAnother(listsAt(1, "a"))
            isLate = 3
            assertEquals(listsAt(1, "a"), readWithin(10.seconds).getOrNull()?.lists)
        }

        @Test
        fun `it is not tried again after the timeout`() {
            isLate = Int.MAX_VALUE
            assertEquals(KeyValueError.OutcomeUnknown("timeout"), readWithin(1.seconds).leftOrNull())
            assertEquals(11, Int.MAX_VALUE - isLate)
        }
    }

    /** Loses the answer to the first write, and runs [meanwhile] after that write. */
    private class LosesOneAnswer(private val store: KeyValueStore, private val meanwhile: () -> Unit) :
        KeyValueStore by store {
        private var isLost = false

        override fun compareAndSwap(
            key: String,
            expected: StoreRevision,
            value: String,
            lease: LeaseId?,
        ): Either<KeyValueError, SwapResult> {
            val result = store.compareAndSwap(key, expected, value, lease)
            if (isLost) return result
            isLost = true
            meanwhile()
            return KeyValueError.OutcomeUnknown("the answer is lost").left()
        }
    }
}
