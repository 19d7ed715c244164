package io.quetzalfield.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LISTS_KEY
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** The stored lists, with the store revision that a replacement must expect. */
public data class StoredLists(val lists: OperatorLists?, val storeRevision: StoreRevision) {
    /** The revision for the lists that replace these. */
    val nextRevision: ListsRevision get() = ListsRevision((lists?.revision?.value ?: 0) + 1)
}

/** Why an apply is not known to have taken effect. */
public sealed interface ApplyError {
    /** Another operator has written lists in the meantime; nothing was written. */
    public data class Clash(val current: OperatorLists?) : ApplyError

    /** The store refused the write or could not be reached; nothing was written. */
    public data class StoreFailed(val error: KeyValueError) : ApplyError

    /** The store's answer was lost, and the lists stored now do not show whether the write took effect. */
    public data class OutcomeUnknown(val message: String) : ApplyError
}

/** Reads and replaces the lists in the platform's key-value service. */
public class ListsStore(
    private val store: KeyValueStore,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val pause: (Duration) -> Unit = { TimeUnit.MILLISECONDS.sleep(it.inWholeMilliseconds) },
) {
    /** The lists that are stored now. */
    public fun read(): Either<KeyValueError, StoredLists> = store.read(LISTS_KEY).map { it.toStoredLists() }

    /** The lists that are stored now; a read that fails is tried again until [timeout] has passed. */
    public fun readWithin(timeout: Duration): Either<KeyValueError, StoredLists> {
        val deadline = timeSource.markNow() + timeout
        var result = read()
        while (result.isLeft() && deadline.hasNotPassedNow()) {
            pause(ReadPause)
            result = read()
        }
        return result
    }

    /**
     * Replaces [base] with [lists]. If the answer is lost, the write is retried. Each attempt expects the same store
     * revision, so that the write takes effect at most once, and a conflict shows whether an earlier attempt succeeded.
     */
    public fun replace(base: StoredLists, lists: OperatorLists): Either<ApplyError, Unit> {
        val json = PlatformJson.encodeToString(OperatorLists.serializer(), lists)
        var lost: KeyValueError.OutcomeUnknown? = null
        repeat(ATTEMPTS) {
            when (val result = store.compareAndSwap(LISTS_KEY, base.storeRevision, json)) {
                is Either.Right -> return result.value.outcome(json, lists, lost)

                is Either.Left -> when (val error = result.value) {
                    is KeyValueError.OutcomeUnknown -> lost = error
                    else -> if (lost == null) return ApplyError.StoreFailed(error).left()
                }
            }
        }
        return ApplyError.OutcomeUnknown(lost?.message.orEmpty()).left()
    }

    private fun SwapResult.outcome(
        json: String,
        lists: OperatorLists,
        lost: KeyValueError.OutcomeUnknown?,
    ): Either<ApplyError, Unit> {
        if (this !is SwapResult.Conflict) return Unit.right()
        if (current?.value == json) return Unit.right()
        val stored = current.toStoredLists().lists
        // After a lost answer, a higher revision may have replaced these lists; the same revision was written instead
        // of them.
        val mayHaveBeenReplaced = lost != null && stored != null && stored.revision > lists.revision
        return if (mayHaveBeenReplaced) {
            ApplyError.OutcomeUnknown("${lost?.message}; revision ${stored?.revision} is stored now").left()
        } else {
            ApplyError.Clash(stored).left()
        }
    }

    private fun StoredValue?.toStoredLists(): StoredLists {
        if (this == null) return StoredLists(null, StoreRevision.Absent)
        return StoredLists(PlatformJson.decodeFromString(OperatorLists.serializer(), value), modified)
    }

    private companion object {
        const val ATTEMPTS = 3
        val ReadPause: Duration = 100.milliseconds
    }
}
