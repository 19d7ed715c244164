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
 * The revision of the lists that an entry has in force.
 *
 * @property problem why it could not be read; `null` when [revision] is known.
 */
@Serializable
public data class EntryRevision(
    val entry: InstanceId,
    val revision: ListsRevision? = null,
    val problem: String? = null,
) {
    override fun toString(): String = "$entry: ${problem ?: "revision $revision"}"
}

/** The revisions in force at all live entries; `null` when the platform's list of instances is not available. */
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
    /**
     * Waits at most [timeout] for [revision]; returns the last known revision of each live entry, or `null` when the
     * platform's list of instances is not available.
     */
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

/** Whether [wanted] or a later revision is known to be in force at the entry. */
internal fun EntryRevision.hasReached(wanted: ListsRevision): Boolean = revision != null && revision >= wanted
