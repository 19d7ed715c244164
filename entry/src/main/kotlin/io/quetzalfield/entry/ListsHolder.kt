package io.quetzalfield.entry

import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.OperatorLists
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import java.util.concurrent.atomic.AtomicReference

/** Holds the lists in force at this entry. A lower revision never replaces a higher one. */
public class ListsHolder {
    private val current = AtomicReference(ListsSnapshot.Empty)

    /** The snapshot that new requests are decided against. */
    public val snapshot: ListsSnapshot get() = current.get()

    /** The revision of the lists in force. */
    public val revision: ListsRevision get() = snapshot.revision

    /** Puts [lists] in force if their revision is higher than the current one; returns `true` if they were adopted. */
    public fun adopt(lists: OperatorLists): Boolean {
        if (lists.revision <= current.get().revision) return false
        val next = ListsSnapshot(lists)
        val previous = current.getAndUpdate { latest -> if (next.revision > latest.revision) next else latest }
        val isAdopted = next.revision > previous.revision
        if (isAdopted) logger.info("lists revision {} is in force, replacing {}", next.revision, previous.revision)
        return isAdopted
    }

    /** Adopts the lists in [json] as [adopt] does; unreadable text is logged and ignored. */
    public fun adoptJson(json: String): Boolean = try {
        adopt(listsJson.decodeFromString(OperatorLists.serializer(), json))
    } catch (error: SerializationException) {
        logger.warn("ignoring unreadable lists: {}", error.message)
        false
    }

    /** Returns the lists in force as JSON, the form in which peers exchange them. */
    public fun toJson(): String = listsJson.encodeToString(OperatorLists.serializer(), snapshot.lists)

    private companion object {
        val listsJson = Json { ignoreUnknownKeys = true }
        val logger = LogManager.getLogger(ListsHolder::class.java)
    }
}
