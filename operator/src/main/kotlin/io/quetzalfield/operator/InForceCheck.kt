package io.quetzalfield.operator

import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListsRevision
import kotlinx.serialization.Serializable
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Which lists an entry has in force.
 *
 * @property problem why it did not say; `null` when it did.
 */
@Serializable
public data class EntryRevision(
    val entry: InstanceId,
    val revision: ListsRevision? = null,
    val problem: String? = null,
) {
    override fun toString(): String = "$entry: ${problem ?: "revision $revision"}"
}

/** The revisions at all live entries; fails when the platform's list of instances cannot be had. */
public fun PlatformConnection.entryRevisions(): List<EntryRevision>? {
    val instances = directory.instances().getOrNull() ?: return null
    return instances.filter { it.kind == InstanceKind.ENTRY && !it.isLeaving }.map { entry ->
        daemons.status(entry).fold(
            { error -> EntryRevision(entry.id, problem = error.message) },
            { status -> EntryRevision(entry.id, status.listsRevision) },
        )
    }
}

/** Waits until a revision is in force at all live entries. */
public class InForceCheck(
    private val connection: PlatformConnection,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val pause: (Duration) -> Unit = { TimeUnit.MILLISECONDS.sleep(it.inWholeMilliseconds) },
) {
    /** Waits at most [timeout]; returns what each live entry said last, or `null` when the list cannot be had. */
    public fun await(revision: ListsRevision, timeout: Duration): List<EntryRevision>? {
        val deadline = timeSource.markNow() + timeout
        var entries = connection.entryRevisions()
        while (!entries.isInForce(revision) && deadline.hasNotPassedNow()) {
            pause(POLL)
            entries = connection.entryRevisions()
        }
        return entries
    }

    private fun List<EntryRevision>?.isInForce(revision: ListsRevision): Boolean =
        this != null && all { it.hasReached(revision) }

    private companion object {
        val POLL: Duration = 100.milliseconds
    }
}

/** Whether the entry has said that [wanted] or a later revision is in force there. */
internal fun EntryRevision.hasReached(wanted: ListsRevision): Boolean = revision != null && revision >= wanted
