package io.quetzalfield.steward

import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LISTS_KEY
import io.quetzalfield.store.PlatformJson
import kotlinx.serialization.SerializationException
import org.apache.logging.log4j.LogManager

/** Reads the operators' lists from the store. A lower revision never replaces a higher one. */
internal class StoredLists(private val store: KeyValueStore) {
    private var newest: ListsSnapshot? = null

    /** Reads the newest lists; returns the previous ones if the read fails, `null` before the first success. */
    @Synchronized
    fun read(): ListsSnapshot? {
        val stored = store.read(LISTS_KEY).getOrNull() ?: return newest
        val lists = parse(stored.value) ?: return newest
        val current = newest
        if (current == null || lists.revision > current.revision) newest = ListsSnapshot(lists)
        return newest
    }

    private fun parse(json: String): OperatorLists? = try {
        PlatformJson.decodeFromString(OperatorLists.serializer(), json)
    } catch (error: SerializationException) {
        logger.warn("ignoring malformed lists in the store: {}", error.message)
        null
    }

    private companion object {
        val logger = LogManager.getLogger(StoredLists::class.java)
    }
}
