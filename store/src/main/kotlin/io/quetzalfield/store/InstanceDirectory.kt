package io.quetzalfield.store

import arrow.core.Either
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance

/** Why the platform's list of instances gave no answer. */
public data class DirectoryError(val message: String)

/** The platform's list of live and leaving instances. It lags: what it says may have been true seconds ago. */
public interface InstanceDirectory {
    /** All instances that the platform takes to be live or leaving. */
    public fun instances(): Either<DirectoryError, List<ListedInstance>>

    /** Puts [instance] on the list, or replaces what the list says of it. */
    public fun announce(instance: ListedInstance): Either<DirectoryError, Unit>

    /** Takes an instance off the list. */
    public fun remove(instance: InstanceId): Either<DirectoryError, Unit>
}
