package io.quetzalfield.entry

import arrow.core.Either
import io.grpc.stub.StreamObserver
import io.quetzalfield.decision.HomeScope
import io.quetzalfield.decision.homeOrder
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.RequestKey
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.peer.PeerServer
import io.quetzalfield.peer.wire.BillRecord
import io.quetzalfield.peer.wire.PeerGrpc
import io.quetzalfield.peer.wire.WitnessReply
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.KeyValueStore
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.SwapResult
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import org.junit.jupiter.api.condition.EnabledIfSystemProperty
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.random.Random
import kotlin.test.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.measureTime

/** Prints the figures that docs/MEASUREMENTS-state.md records. Runs only with `-Dmeasure=yes`. */
@EnabledIfSystemProperty(named = "measure", matches = "yes")
class BillingMeasurementTest {
    private val domains = listOf("domain-1", "domain-2", "domain-3").map(::FailureDomainId)

    private fun entry(number: Int, port: Int = 1) = ListedInstance(
        id = InstanceId("entry-$number"),
        kind = InstanceKind.ENTRY,
        address = "http://127.0.0.1:1",
        failureDomain = domains[number % domains.size],
        peerAddress = "127.0.0.1:$port",
        start = "1",
    )

    private class WitnessService(private val bills: WitnessedBills) : PeerGrpc.PeerImplBase() {
        override fun witnessBill(request: BillRecord, observer: StreamObserver<WitnessReply>) =
            observer.answer(WitnessReply.newBuilder().setVerdict(bills.store(request)).build())
    }

    /** A store whose writes take [delay]. */
    private class SlowStore(private val delegate: KeyValueStore, private val delay: Duration) :
        KeyValueStore by delegate {
        override fun compareAndSwap(
            key: String,
            expected: StoreRevision,
            value: String,
            lease: LeaseId?,
        ): Either<KeyValueError, SwapResult> {
            LockSupport.parkNanos(delay.inWholeNanoseconds)
            return delegate.compareAndSwap(key, expected, value, lease)
        }
    }

    private fun bill(index: Int) = Bill(ClientAccountId("account-${index % 10}"), RequestKey("key-$index"), 300, 100)

    private fun measure(name: String, threads: Int, action: (Int) -> Unit) {
        repeat(WARM_UP) { action(-1 - it) }
        val executor = Executors.newFixedThreadPool(threads)
        val times = (0 until COUNT).map { index ->
            executor.submit<Duration> { measureTime { action(index) } }
        }.map { it.get() }.sorted()
        executor.shutdown()
        executor.awaitTermination(1, TimeUnit.MINUTES)
        println(
            "MEASURED $name, $threads at once: median ${times[COUNT / 2]}, " +
                "99% ${times[COUNT * 99 / 100]}, largest ${times.last()}",
        )
    }

    @Test
    fun `time that a witness adds to the end of an answer`() {
        val servers = (2..5).map { PeerServer("127.0.0.1", 0, WitnessService(WitnessedBills())) }
        val directory = InMemoryInstanceDirectory()
        servers.forEachIndexed { index, server -> directory.announce(entry(index + 2, server.port)) }
        val fleet = FleetView(directory).apply { refresh() }
        PeerClients().use { peers ->
            for (threads in listOf(1, 16)) {
                val witness = PeerBillWitness(InstanceId("entry-1"), domains[1], fleet, peers)
                val process = Incarnation(InstanceId("entry-1"), "$threads")
                val ledger = BillLedger(process, InMemoryKeyValueStore(), witness)
                measure("witness", threads) { ledger.record(bill(it + threads * COUNT * 2)) }
            }
        }
        servers.forEach(PeerServer::close)
    }

    @Test
    fun `time that a group commit adds to the end of an answer`() {
        for (threads in listOf(1, 16)) {
            val store = InMemoryKeyValueStore()
            val ledger = BillLedger(Incarnation(InstanceId("entry-1"), "$threads"), SlowStore(store, WRITE_TIME))
            val commits = GroupCommits(ledger)
            val writer = thread(isDaemon = true) { while (!Thread.interrupted()) commits.run() }
            measure("group commit with writes of $WRITE_TIME", threads) { index ->
                ledger.record(bill(index))
                commits.awaitNext()
            }
            writer.interrupt()
            println("MEASURED group commit, $threads at once: ${store.callCount} writes for ${COUNT + WARM_UP} answers")
        }
    }

    /** Flushes in a loop; a waiting thread is released by the first flush that began after it started to wait. */
    private class GroupCommits(private val ledger: BillLedger) {
        private val lock = ReentrantLock()
        private val changed = lock.newCondition()
        private var begun = 0L
        private var ended = 0L

        fun run() {
            lock.withLock { begun++ }
            ledger.flush()
            lock.withLock {
                ended = begun
                changed.signalAll()
            }
        }

        fun awaitNext() = lock.withLock {
            val due = begun + 1
            while (ended < due) changed.await()
        }
    }

    @Test
    fun `how often a keyed request needs the extra hop`() {
        val random = Random(20261204)
        val all = (1..5).map { entry(it) }
        for (isSteered in listOf(false, true)) {
            var requests = 0
            var hops = 0
            repeat(20_000) { number ->
                val scope = HomeScope("session-$number")
                val listed = if (random.nextDouble() < CHANGE_SHARE) all - all.random(random) else all
                val order = if (isSteered) homeOrder(scope, listed) else listed.shuffled(random)
                val home = homeOrder(scope, all).first()
                requests++
                if (order.first().id != home.id) hops++
            }
            println("MEASURED extra hop, steered $isSteered: $hops of $requests")
        }
    }

    private companion object {
        const val WARM_UP = 2_000
        const val COUNT = 5_000
        const val CHANGE_SHARE = 0.05
        val WRITE_TIME = 3.milliseconds
    }
}
