package io.quetzalfield.measurements

import io.quetzalfield.entry.EntryProgram
import io.quetzalfield.entry.EntrySettings
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.Model
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.Plan
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.PlanPermission
import io.quetzalfield.model.SigningKey
import io.quetzalfield.model.VersionId
import io.quetzalfield.standins.RunnerStandIn
import io.quetzalfield.store.LISTS_KEY
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import io.quetzalfield.store.fakes.InMemoryRatingService
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds

private const val FAILURE_DOMAINS = 4
private const val API_KEY_DIGITS = 64
private const val ALLOWANCE = 600_000L
private const val PRIOR_QUALITY = 0.9
private val PLAN = PlanId("bench")
private val VERSION = ModelVersionReference(ModelId("advisor"), VersionId("1"))

/** The numbers of entries, runners and client accounts of a measured fleet. */
public data class FleetSize(public val entries: Int, public val runners: Int, public val accounts: Int)

/** Entries in this process, with an in-memory platform and a single stand-in for all runners. */
public class MeasuredFleet(size: FleetSize) : AutoCloseable {
    private val directory = InMemoryInstanceDirectory()
    private val runner = RunnerStandIn("127.0.0.1", 0, listOf(VERSION))
    private val accounts = size.accounts

    /** The store that all entries share. */
    public val store: InMemoryKeyValueStore = InMemoryKeyValueStore()

    /** The stored lists as JSON. */
    public val listsJson: String get() = store.read(LISTS_KEY).getOrNull()?.value.orEmpty()

    private val entries: List<EntryProgram>

    init {
        repeat(size.runners) { number -> directory.announce(listedRunner(number)) }
        apply(ListsRevision(1))
        entries =
            List(size.entries) { number -> EntryProgram(settings(number), store, directory, InMemoryRatingService()) }
    }

    /** Stores the same lists at [revision]. */
    public fun apply(revision: ListsRevision) {
        val expected = store.read(LISTS_KEY).getOrNull()?.modified ?: StoreRevision.Absent
        val json = PlatformJson.encodeToString(OperatorLists.serializer(), lists(revision, accounts))
        store.compareAndSwap(LISTS_KEY, expected, json)
    }

    /** Whether all entries have lists at [revision] in force. */
    public fun isInForceAtAllEntries(revision: ListsRevision): Boolean = entries.all { it.listsRevision == revision }

    private fun listedRunner(number: Int) = ListedInstance(
        id = InstanceId("runner-$number"),
        kind = InstanceKind.RUNNER,
        address = "http://127.0.0.1:${runner.port}",
        failureDomain = domain(number),
        versions = listOf(VERSION),
    )

    private fun settings(number: Int) = EntrySettings(
        instance = InstanceId("entry-$number"),
        failureDomain = domain(number),
        callerAddress = "127.0.0.1:0",
        peerAddress = "127.0.0.1:0",
        platformAddress = "http://127.0.0.1:1",
        addressValidity = 1.milliseconds,
    )

    private fun domain(number: Int) = FailureDomainId("domain-${number % FAILURE_DOMAINS}")

    override fun close() {
        entries.map { entry -> thread { entry.close() } }.forEach(Thread::join)
        runner.close()
    }
}

/** Lists with [accounts] client accounts on one plan. */
internal fun lists(revision: ListsRevision, accounts: Int): OperatorLists = OperatorLists(
    revision = revision,
    plans = ClientPlanList(
        plans = listOf(Plan(PLAN, qualityTarget = PRIOR_QUALITY)),
        accounts = List(accounts) { number ->
            ClientAccount(
                id = ClientAccountId("account-$number"),
                plan = PLAN,
                apiKeyHashes = listOf("$number".padStart(API_KEY_DIGITS, '0')),
                tokensPerMinute = ALLOWANCE,
            )
        },
        signingKeys = listOf(SigningKey("key-1", "measurement-secret-measurement-secret")),
    ),
    models = ModelList(
        models = listOf(
            Model(
                id = VERSION.model,
                versions = listOf(
                    ModelVersion(VERSION.version, costPerThousandTokens = 1.0, priorQuality = PRIOR_QUALITY),
                ),
            ),
        ),
        permissions = listOf(PlanPermission(PLAN, listOf(VERSION))),
    ),
)
