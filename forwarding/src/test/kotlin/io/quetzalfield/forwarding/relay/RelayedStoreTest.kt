package io.quetzalfield.forwarding.relay

import arrow.core.getOrElse
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.quetzalfield.forwarding.fleet.FleetKeys
import io.quetzalfield.forwarding.fleet.MemberRecord
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.store.CallTime
import io.quetzalfield.store.Confirmation
import io.quetzalfield.store.FollowSettings
import io.quetzalfield.store.FollowableStore
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreFollower
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoreWatch
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Clock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Load pattern: the instance that reads the store for the others fails in different ways right before a change. */
class RelayedStoreTest {
    private val store = InMemoryKeyValueStore()
    private val directFollows = AtomicInteger()
    private val instances = (1..5).map(::Instance)

    @AfterEach
    fun stop() = instances.forEach(Instance::close)

    /** The shared store as one instance sees it, polled. [isCut] disconnects only this instance from it. */
    private inner class DirectStore :
        FollowableStore,
        KeyValueStore by store {
        @Volatile
        var isCut = false

        @Volatile
        var lastConfirmed: ComparableTimeMark? = null

        /** Prefixes that this instance follows in the store now. */
        val follows = AtomicInteger()

        override fun follow(prefix: String, follower: StoreFollower, settings: FollowSettings): StoreWatch {
            val isOver = CountDownLatch(1)
            directFollows.incrementAndGet()
            follows.incrementAndGet()
            thread(isDaemon = true) {
                while (isOver.count > 0) {
                    val sent = CallTime(TimeSource.Monotonic.markNow(), Clock.System.now())
                    if (isCut) {
                        follower.onUnavailable("cut")
                    } else {
                        val values = store.list(prefix).getOrElse { emptyList() }
                        val revision = values.maxOfOrNull(StoredValue::modified) ?: StoreRevision.Absent
                        follower.onState(values, revision)
                        follower.onRevisionReached(revision)
                        follower.onAvailable()
                        follower.onConfirmed(sent)
                        lastConfirmed = sent.mark
                    }
                    Thread.sleep(20)
                }
                directFollows.decrementAndGet()
                follows.decrementAndGet()
            }
            return StoreWatch { isOver.countDown() }
        }
    }

    private inner class Instance(number: Int) : StoreFollower {
        val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
        val eventLoop = group.next()
        val direct = DirectStore()
        private val port = ServerSocket(0).use { it.localPort }
        val record = MemberRecord(
            incarnation = Incarnation(InstanceId("front-$number"), "start"),
            address = "127.0.0.1:1",
            failureDomain = if (number <= 3) "a" else "b",
            peerAddress = "127.0.0.1:$port",
        )
        val relayed = RelayedStore(direct, record, eventLoop)
        val known = ConcurrentHashMap<String, String>()

        @Volatile
        var confirmed: ComparableTimeMark? = null

        init {
            relayed.follow(
                "lists/",
                this,
                FollowSettings(confirmation = Confirmation("lists/current", 20.milliseconds)),
            )
            relayed.follow(
                FleetKeys.FLEET_PREFIX,
                object : StoreFollower {
                    override fun onState(values: List<StoredValue>, revision: StoreRevision) = Unit

                    override fun onChange(change: StoreChange) = Unit
                },
                FollowSettings(),
            )
        }

        fun start() {
            val json = PlatformJson.encodeToString(MemberRecord.serializer(), record)
            store.compareAndSwap(FleetKeys.member(record.incarnation), StoreRevision.Absent, json)
            relayed.start()
        }

        override fun onState(values: List<StoredValue>, revision: StoreRevision) =
            values.forEach { known[it.key] = it.value }

        override fun onChange(change: StoreChange) {
            val value = change.value
            if (value == null) known.remove(change.key) else known[change.key] = value.value
        }

        override fun onConfirmed(sent: CallTime) {
            val newest = instances.mapNotNull { it.direct.lastConfirmed }.max()
            assertTrue(sent.mark <= newest, "a confirmation is newer than the newest call to the store")
            confirmed = sent.mark
        }

        fun close() {
            group.shutdownGracefully(0, 100, java.util.concurrent.TimeUnit.MILLISECONDS)
        }
    }

    private fun startAll() {
        write("first")
        instances.forEach(Instance::start)
        await(10.seconds) { instances.count { it.relayed.isReader } == 1 && directFollows.get() == 2 }
    }

    private fun write(value: String) {
        val current = store.read("lists/current").getOrElse { null }?.modified ?: StoreRevision.Absent
        store.compareAndSwap("lists/current", current, value)
    }

    private fun await(limit: Duration, condition: () -> Boolean) {
        val start = TimeSource.Monotonic.markNow()
        while (!condition()) {
            check(start.elapsedNow() < limit) {
                "condition not met within $limit: ${instances.map { it.known to it.relayed.isReader }}"
            }
            Thread.sleep(5)
        }
    }

    private fun awaitKnown(value: String, among: List<Instance> = instances) =
        await(ChangeBound) { among.all { it.known["lists/current"] == value } }

    @Test
    fun `one instance reads the store, and a change reaches all instances`() {
        startAll()
        assertTrue(instances.first().relayed.isReader)
        write("second")
        awaitKnown("second")
        Thread.sleep(500)
        assertEquals(1, instances.count { it.relayed.isReader })
        assertTrue(instances.all { checkNotNull(it.confirmed).elapsedNow() < 1.seconds })
    }

    @Test
    fun `a change is known in time although the reader has just lost the store`() {
        startAll()
        instances.first().direct.isCut = true
        write("second")
        awaitKnown("second", among = instances.drop(1))
    }

    @Test
    fun `a change is known in time although the reader has just been paused`() {
        startAll()
        val isResumed = CountDownLatch(1)
        instances.first().eventLoop.execute(isResumed::await)
        Thread.sleep(100)
        write("second")
        awaitKnown("second", among = instances.drop(1))
        isResumed.countDown()
        await(10.seconds) { instances.count { it.relayed.isReader } == 1 }
    }

    @Test
    fun `a change is known in time although the relay of a domain has just stopped`() {
        startAll()
        instances[3].close()
        write("second")
        awaitKnown("second", among = instances - instances[3])
    }

    @Test
    fun `the followers of an instance that leaves switch to another source`() {
        startAll()
        instances.first().relayed.leave()
        write("second")
        awaitKnown("second")
        await(10.seconds) { instances.drop(1).any { it.relayed.isReader } }
    }

    @Test
    fun `nothing is confirmed while no instance reaches the store`() {
        startAll()
        instances.forEach { it.direct.isCut = true }
        Thread.sleep(1_500)
        assertTrue(instances.all { checkNotNull(it.confirmed).elapsedNow() > 1.seconds })
        instances.forEach { it.direct.isCut = false }
        write("second")
        awaitKnown("second")
    }

    /** Load pattern: instances are restarted while others run. */
    @Test
    fun `an instance that starts beside others reads the list of instances only`() {
        write("first")
        instances.take(4).forEach(Instance::start)
        await(10.seconds) { instances.take(4).count { it.relayed.isReader } == 1 && directFollows.get() == 2 }
        var most = 0
        val late = instances[4]
        late.start()
        await(5.seconds) {
            most = maxOf(most, late.direct.follows.get())
            late.known["lists/current"] == "first" && !late.relayed.isReader
        }
        assertEquals(1, most)
    }

    /** Load pattern: the store turns some instances away for longer than the bound on the age of confirmations. */
    @Nested
    inner class TurnedAway {
        private fun assertConfirmed(instance: Instance) {
            val age = checkNotNull(instance.confirmed).elapsedNow()
            assertTrue(age < 3.seconds, "${instance.record.incarnation}: confirmed $age ago")
        }

        @Test
        fun `the first of all is confirmed through another instance`() {
            startAll()
            instances.first().direct.isCut = true
            repeat(5) {
                Thread.sleep(1_000)
                instances.forEach(::assertConfirmed)
            }
            write("second")
            awaitKnown("second")
            instances.first().direct.isCut = false
            await(15.seconds) { instances.count { it.relayed.isReader } == 1 }
        }

        @Test
        fun `the first two of all are confirmed through a third`() {
            startAll()
            instances.take(2).forEach { it.direct.isCut = true }
            repeat(5) {
                Thread.sleep(1_000)
                instances.forEach(::assertConfirmed)
            }
        }

        @Test
        fun `an instance whose lease has lapsed meanwhile is confirmed through its relay`() {
            startAll()
            val third = instances[2]
            third.direct.isCut = true
            val key = FleetKeys.member(third.record.incarnation)
            val listed = checkNotNull(store.read(key).getOrElse { null })
            store.compareAndDelete(key, listed.modified)
            repeat(11) {
                Thread.sleep(1_000)
                assertConfirmed(third)
            }
        }
    }

    private companion object {
        /** The shortest time within which a change must be in force, as the platform's users require. */
        val ChangeBound = 2.seconds
    }
}
