package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import kotlin.time.Duration.Companion.seconds

/** Provides the lists that requests are decided against, as long as they are known to be in force. */
public fun interface DecisionLists {
    /** Returns the snapshot in force, or the reason why no request may be decided now. */
    public fun snapshot(): Either<NotRun, ListsSnapshot>
}

private val RETRY_AFTER = 2.seconds

/** Provides the lists of [holder] while [areCurrent] rules out that newer lists have been missed. */
public class CurrentLists(private val holder: ListsHolder, private val areCurrent: () -> Boolean) : DecisionLists {
    override fun snapshot(): Either<NotRun, ListsSnapshot> {
        val snapshot = holder.snapshot
        if (snapshot !== ListsSnapshot.Empty && areCurrent()) return snapshot.right()
        return NotRun(
            refusal = RefusalReason.LISTS_NOT_CURRENT,
            message = "this entry reaches neither the platform nor another entry; use another address",
            retryAfter = RETRY_AFTER,
        ).left()
    }
}
