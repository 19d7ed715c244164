package io.quetzalfield.steward.orders

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.Model
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.VersionId
import io.quetzalfield.store.HeldDuty
import io.quetzalfield.store.engine.EngineLoad
import io.quetzalfield.store.engine.EngineOrder
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private val WANTED = ModelVersionReference(ModelId("advisor"), VersionId("1"))
private val UNWANTED = ModelVersionReference(ModelId("advisor"), VersionId("9"))
private val SETTLING_TIME = 8.seconds

/** An in-memory runner that can lose orders and can accept outdated ones. */
private class FakeRunner(private val rejectsOutdatedOrders: Boolean) : RunnerControl {
    var versions = listOf(UNWANTED)
    var lostOrders = 0
    var highestNumber = 0L

    override fun load(runner: ListedInstance): Either<RunnerError, EngineLoad> = EngineLoad(0, 0, 8, versions).right()

    override fun order(runner: ListedInstance, order: EngineOrder): Either<RunnerError, Unit> {
        if (lostOrders-- > 0) return RunnerError("lost").left()
        if (rejectsOutdatedOrders && order.fencingNumber < highestNumber) return RunnerError("old").left()
        highestNumber = maxOf(highestNumber, order.fencingNumber)
        versions = order.versions
        return Unit.right()
    }
}

class OrderDutyTest {
    private val time = TestTimeSource()
    private val directory = InMemoryInstanceDirectory()

    init {
        directory.announce(
            ListedInstance(InstanceId("runner-1"), InstanceKind.RUNNER, "http://h:1", FailureDomainId("domain-1")),
        )
    }

    private val snapshot = ListsSnapshot(
        OperatorLists(
            ListsRevision(1),
            ClientPlanList(),
            ModelList(
                listOf(
                    Model(
                        WANTED.model,
                        listOf(ModelVersion(WANTED.version, costPerThousandTokens = 1.0, priorQuality = 0.9)),
                    ),
                ),
            ),
        ),
    )

    private fun duty(runner: RunnerControl, held: () -> HeldDuty?) =
        OrderDuty(held, { snapshot }, directory, runner, SETTLING_TIME, timeSource = time)

    private fun heldFor(number: Long): () -> HeldDuty? = { HeldDuty(number, time.markNow() + 4.seconds) }

    @Test
    fun `a new holder waits before its first order, whether or not runners check the fencing number`() {
        for (rejectsOutdatedOrders in listOf(true, false)) {
            val runner = FakeRunner(rejectsOutdatedOrders)
            val duty = duty(runner, heldFor(2))
            duty.run()
            assertEquals(listOf(UNWANTED), runner.versions)
            time += SETTLING_TIME + 1.seconds
            duty.run()
            assertEquals(listOf(WANTED), runner.versions)
        }
    }

    @Test
    fun `lost orders and late outdated ones are corrected`() {
        val runner = FakeRunner(rejectsOutdatedOrders = false)
        val duty = duty(runner, heldFor(2))
        duty.run()
        time += SETTLING_TIME + 1.seconds
        runner.lostOrders = 2
        repeat(3) { duty.run() }
        assertEquals(listOf(WANTED), runner.versions)
        runner.versions = listOf(UNWANTED)
        duty.run()
        assertEquals(listOf(WANTED), runner.versions)
    }

    @Test
    fun `a holder that loses the duty during a run sends no order`() {
        val runner = FakeRunner(rejectsOutdatedOrders = false)
        var checks = 0
        val duty = duty(runner) { if (++checks <= 2) HeldDuty(2, time.markNow() + 4.seconds) else null }
        duty.run()
        time += SETTLING_TIME + 1.seconds
        duty.run()
        assertEquals(listOf(UNWANTED), runner.versions)
    }
}
