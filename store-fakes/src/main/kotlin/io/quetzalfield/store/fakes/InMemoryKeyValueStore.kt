package io.quetzalfield.store.fakes

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreEra
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoreWatch
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * An in-memory key-value store that can simulate the faults of the real one. Leases expire by [timeSource], so that
 * tests can control them. Watches report on the writing thread.
 */
public class InMemoryKeyValueStore(private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic) :
    KeyValueStore {
    private class Lease(val timeToLive: Duration, var expiresAt: ComparableTimeMark)

    private class Entry(val value: StoredValue, val lease: LeaseId?)

    /** The contents of the store at one moment. */
    public class Backup internal constructor(
        internal val entries: Map<String, Pair<StoredValue, LeaseId?>>,
        internal val leases: Map<LeaseId, Pair<Duration, ComparableTimeMark>>,
        internal val revision: Long,
        internal val nextLease: Long,
    )

    private class Watch(val prefix: String, val onChange: (StoreChange) -> Unit)

    private val lock = Any()
    private val entries = sortedMapOf<String, Entry>()
    private val leases = mutableMapOf<LeaseId, Lease>()
    private val watches = mutableListOf<Watch>()
    private var revision = 0L
    private var nextLease = 1L

    @Volatile
    override var era: StoreEra = StoreEra.First
        private set
    private var responsesToLose = 0

    /** The number of calls, including refused ones. */
    public var callCount: Long = 0
        private set

    /** While `true`, every call fails without effect. */
    @Volatile
    public var isDown: Boolean = false

    /** Copies the contents. */
    public fun backUp(): Backup = synchronized(lock) {
        Backup(
            entries = entries.mapValues { (_, entry) -> entry.value to entry.lease },
            leases = leases.mapValues { (_, lease) -> lease.timeToLive to lease.expiresAt },
            revision = revision,
            nextLease = nextLease,
        )
    }

    /** Replaces the contents by those of [backup] and begins a new era. Watches report nothing of it. */
    public fun restore(backup: Backup): Unit = synchronized(lock) {
        era = StoreEra(era.value + 1)
        revision = backup.revision
        nextLease = backup.nextLease
        leases.clear()
        backup.leases.forEach { (id, lease) -> leases[id.copy(era = era)] = Lease(lease.first, lease.second) }
        entries.clear()
        for ((key, backedUp) in backup.entries) {
            val (value, lease) = backedUp
            val restored = value.copy(modified = at(value.modified.number), created = at(value.created.number))
            entries[key] = Entry(restored, lease?.copy(era = era))
        }
    }

    private fun at(number: Long) = StoreRevision.of(era, number)

    /** Applies the next [count] writes but loses their responses. */
    public fun loseAnswers(count: Int): Unit = synchronized(lock) { responsesToLose = count }

    override fun read(key: String): Either<KeyValueError, StoredValue?> = query { entries[key]?.value }

    override fun list(prefix: String): Either<KeyValueError, List<StoredValue>> =
        query { entries.filterKeys { it.startsWith(prefix) }.values.map(Entry::value) }

    override fun compareAndSwap(
        key: String,
        expected: StoreRevision,
        value: String,
        lease: LeaseId?,
    ): Either<KeyValueError, SwapResult> = command {
        val current = entries[key]?.value
        when {
            (current?.modified ?: StoreRevision.Absent) != expected -> SwapResult.Conflict(current).right()

            lease != null && lease !in leases -> KeyValueError.Rejected("lease ${lease.value} is unknown").left()

            else -> {
                revision++
                val created = current?.created ?: at(revision)
                val stored = StoredValue(key, value, at(revision), created)
                entries[key] = Entry(stored, lease)
                report(StoreChange(key, stored))
                SwapResult.Swapped(stored.modified).right()
            }
        }
    }

    override fun compareAndDelete(key: String, expected: StoreRevision): Either<KeyValueError, SwapResult> = command {
        val current = entries[key]?.value
        if ((current?.modified ?: StoreRevision.Absent) != expected) {
            SwapResult.Conflict(current).right()
        } else {
            delete(key)
            SwapResult.Swapped(at(revision)).right()
        }
    }

    override fun grantLease(timeToLive: Duration): Either<KeyValueError, LeaseId> = command {
        val id = LeaseId(nextLease++, era)
        leases[id] = Lease(timeToLive, timeSource.markNow() + timeToLive)
        id.right()
    }

    override fun keepAlive(lease: LeaseId): Either<KeyValueError, Boolean> = command {
        val existing = leases[lease]
        existing?.expiresAt = timeSource.markNow() + (existing?.timeToLive ?: Duration.ZERO)
        (existing != null).right()
    }

    override fun revokeLease(lease: LeaseId): Either<KeyValueError, Unit> = command {
        endLease(lease)
        Unit.right()
    }

    override fun watch(prefix: String, onChange: (StoreChange) -> Unit): StoreWatch {
        val watch = Watch(prefix, onChange)
        synchronized(lock) {
            callCount++
            watches += watch
            entries.filterKeys {
                it.startsWith(prefix)
            }.values.forEach { onChange(StoreChange(it.value.key, it.value)) }
        }
        return StoreWatch { synchronized(lock) { watches -= watch } }
    }

    /** Ends the leases that have expired. Every call to the store also does this. */
    public fun expireLeases(): Unit = synchronized(lock) {
        leases.filterValues { it.expiresAt.hasPassedNow() }.keys.toList().forEach(::endLease)
    }

    private fun <T> query(read: () -> T): Either<KeyValueError, T> = synchronized(lock) {
        callCount++
        expireLeases()
        if (isDown) KeyValueError.Unavailable("the store is down").left() else read().right()
    }

    private fun <T> command(write: () -> Either<KeyValueError, T>): Either<KeyValueError, T> = synchronized(lock) {
        callCount++
        expireLeases()
        if (isDown) return@synchronized KeyValueError.Unavailable("the store is down").left()
        val result = write()
        if (responsesToLose == 0) return@synchronized result
        responsesToLose--
        KeyValueError.OutcomeUnknown("the response was lost").left()
    }

    private fun endLease(lease: LeaseId) {
        leases.remove(lease)
        entries.filterValues { it.lease == lease }.keys.toList().forEach(::delete)
    }

    private fun delete(key: String) {
        if (entries.remove(key) == null) return
        revision++
        report(StoreChange(key, null))
    }

    private fun report(change: StoreChange) {
        watches.filter { change.key.startsWith(it.prefix) }.forEach { it.onChange(change) }
    }
}
