package io.quetzalfield.operator

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.platform.KeyValueError
import io.quetzalfield.platform.KeyValueStore
import io.quetzalfield.platform.LISTS_KEY
import io.quetzalfield.platform.PlatformJson
import io.quetzalfield.platform.StoreRevision
import io.quetzalfield.platform.StoredValue
import io.quetzalfield.platform.SwapResult

/** The lists as they are stored, with the store's revision that a replacement must name. */
public data class StoredLists(val lists: OperatorLists?, val storeRevision: StoreRevision) {
    /** The revision that the next lists get. */
    val nextRevision: ListsRevision get() = ListsRevision((lists?.revision?.value ?: 0) + 1)
}

/** Why lists were not written. */
public sealed interface ApplyError {
    /** Another operator has written since; nothing was written. */
    public data class Clash(val current: OperatorLists?) : ApplyError

    /** The store gave no answer. */
    public data class StoreFailed(val error: KeyValueError) : ApplyError
}

/** Reads and replaces the lists in the platform's key-value service. */
public class ListsStore(private val store: KeyValueStore) {
    /** The lists that are stored now. */
    public fun read(): Either<KeyValueError, StoredLists> = store.read(LISTS_KEY).map { it.toStoredLists() }

    /**
     * Replaces the lists read as [base] by [lists]. When the answer is lost, the stored value tells whether the write
     * took effect.
     */
    public fun replace(base: StoredLists, lists: OperatorLists): Either<ApplyError, Unit> {
        val json = PlatformJson.encodeToString(OperatorLists.serializer(), lists)
        return when (val result = store.compareAndSwap(LISTS_KEY, base.storeRevision, json)) {
            is Either.Right -> when (val swap = result.value) {
                is SwapResult.Swapped -> Unit.right()
                is SwapResult.Conflict -> ApplyError.Clash(swap.current.toStoredLists().lists).left()
            }

            is Either.Left ->
                if (result.value is KeyValueError.OutcomeUnknown) {
                    readBack(json)
                } else {
                    ApplyError.StoreFailed(result.value).left()
                }
        }
    }

    private fun readBack(json: String): Either<ApplyError, Unit> = store.read(LISTS_KEY)
        .mapLeft { ApplyError.StoreFailed(it) }
        .flatMap { stored ->
            if (stored?.value == json) Unit.right() else ApplyError.Clash(stored.toStoredLists().lists).left()
        }

    private fun StoredValue?.toStoredLists(): StoredLists {
        if (this == null) return StoredLists(null, StoreRevision.Absent)
        return StoredLists(PlatformJson.decodeFromString(OperatorLists.serializer(), value), modified)
    }
}
