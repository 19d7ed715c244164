package io.quetzalfield.entry

import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.OperatorLists
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.apache.logging.log4j.LogManager
import java.util.concurrent.atomic.AtomicReference

/** The lists that are in force at this entry. A lower revision never replaces a higher one. */
public class ListsHolder {
    private val current = AtomicReference(ListsSnapshot.Empty)

    /** The snapshot that new requests are decided against. */
    public val snapshot: ListsSnapshot get() = current.get()

    public val revision: ListsRevision get() = snapshot.revision

    /** Puts [lists] in force unless their revision is at or below the present one; `true` when they were taken. */
    public fun adopt(lists: OperatorLists): Boolean {
        if (lists.revision <= current.get().revision) return false
        val next = ListsSnapshot(lists)
        val previous = current.getAndUpdate { held -> if (next.revision > held.revision) next else held }
        val isTaken = next.revision > previous.revision
        if (isTaken) logger.info("lists revision {} is in force, after {}", next.revision, previous.revision)
        return isTaken
    }

    /** Puts the lists in [json] in force as [adopt] does; text that is no lists is ignored. */
    public fun adoptJson(json: String): Boolean = try {
        adopt(listsJson.decodeFromString(OperatorLists.serializer(), json))
    } catch (error: SerializationException) {
        logger.warn("unreadable lists are ignored: {}", error.message)
        false
    }

    /** The lists in force as JSON, as peers exchange them. */
    public fun toJson(): String = listsJson.encodeToString(OperatorLists.serializer(), snapshot.lists)

    private companion object {
        val listsJson = Json { ignoreUnknownKeys = true }
        val logger = LogManager.getLogger(ListsHolder::class.java)
    }
}
