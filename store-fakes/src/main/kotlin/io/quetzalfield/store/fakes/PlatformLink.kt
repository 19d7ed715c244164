package io.quetzalfield.store.fakes

import arrow.core.Either
import arrow.core.left
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.store.DirectoryError
import io.quetzalfield.store.InstanceDirectory
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreEra
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoreWatch
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** The connection of one process to the platform. It can be cut or slowed while other processes reach the platform. */
public class PlatformLink(private val origin: KeyValueStore, private val list: InstanceDirectory) {
    private class Watch(val prefix: String, val onChange: (StoreChange) -> Unit)

    private val watches = CopyOnWriteArrayList<Watch>()
    private val listReadCount = AtomicLong()

    /** Delay added to each response of the store. */
    @Volatile
    public var delay: Duration = Duration.ZERO

    /** While `true`, every call fails and no change is reported. Watches restart when it becomes `false`. */
    @Volatile
    public var isCut: Boolean = false
        set(value) {
            field = value
            if (!value) watches.forEach(::restart)
        }

    /** The number of successful reads of the list of instances. */
    public val listReads: Long get() = listReadCount.get()

    /** The store as the process sees it. */
    public val store: KeyValueStore = LinkedStore()

    /** The list of instances as the process sees it. */
    public val directory: InstanceDirectory = LinkedDirectory()

    private fun restart(watch: Watch) {
        origin.list(watch.prefix).onRight { values ->
            values.filter { it.key.startsWith(watch.prefix) }.forEach { watch.onChange(StoreChange(it.key, it)) }
        }
    }

    private fun <T> call(action: () -> Either<KeyValueError, T>): Either<KeyValueError, T> {
        if (isCut) return KeyValueError.Unavailable("the link is cut").left()
        val result = action()
        if (delay.isPositive()) Thread.sleep(delay.inWholeMilliseconds)
        return if (isCut) KeyValueError.OutcomeUnknown("the link was cut").left() else result
    }

    private inner class LinkedStore : KeyValueStore {
        override val era: StoreEra get() = origin.era

        override fun read(key: String): Either<KeyValueError, StoredValue?> = call { origin.read(key) }

        override fun list(prefix: String): Either<KeyValueError, List<StoredValue>> = call { origin.list(prefix) }

        override fun compareAndSwap(
            key: String,
            expected: StoreRevision,
            value: String,
            lease: LeaseId?,
        ): Either<KeyValueError, SwapResult> = call { origin.compareAndSwap(key, expected, value, lease) }

        override fun compareAndDelete(key: String, expected: StoreRevision): Either<KeyValueError, SwapResult> =
            call { origin.compareAndDelete(key, expected) }

        override fun grantLease(timeToLive: Duration): Either<KeyValueError, LeaseId> =
            call { origin.grantLease(timeToLive) }

        override fun keepAlive(lease: LeaseId): Either<KeyValueError, Boolean> = call { origin.keepAlive(lease) }

        override fun revokeLease(lease: LeaseId): Either<KeyValueError, Unit> = call { origin.revokeLease(lease) }

        override fun watch(prefix: String, onChange: (StoreChange) -> Unit): StoreWatch {
            val watch = Watch(prefix, onChange)
            watches += watch
            val running = origin.watch(prefix) { change -> if (!isCut) onChange(change) }
            return StoreWatch {
                watches -= watch
                running.close()
            }
        }
    }

    private inner class LinkedDirectory : InstanceDirectory {
        override fun instances(): Either<DirectoryError, List<ListedInstance>> =
            call(list::instances).onRight { listReadCount.incrementAndGet() }

        override fun announce(instance: ListedInstance): Either<DirectoryError, Unit> = call { list.announce(instance) }

        override fun remove(instance: InstanceId): Either<DirectoryError, Unit> = call { list.remove(instance) }

        private fun <T> call(action: () -> Either<DirectoryError, T>): Either<DirectoryError, T> =
            if (isCut) DirectoryError("the link is cut").left() else action()
    }
}
