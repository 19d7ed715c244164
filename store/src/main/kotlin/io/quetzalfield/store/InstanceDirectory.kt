package io.quetzalfield.store

import arrow.core.Either
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance

/** Why a call to the platform's list of instances failed. */
public data class DirectoryError(val message: String)

/** The platform's list of live and leaving instances. It lags: its contents may be seconds old. */
public interface InstanceDirectory {
    /** All instances that the platform considers live or leaving. */
    public fun instances(): Either<DirectoryError, List<ListedInstance>>

    /** Adds [instance] to the list, or replaces its entry. */
    public fun announce(instance: ListedInstance): Either<DirectoryError, Unit>

    /** Removes [instance] from the list. */
    public fun remove(instance: InstanceId): Either<DirectoryError, Unit>
}
