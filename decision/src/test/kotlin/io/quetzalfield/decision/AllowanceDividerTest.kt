package io.quetzalfield.decision

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.EdgeCasesMode
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private val ACCOUNT = ClientAccountId("workshop")
private val RULES = AllowanceRules(largestEntryCount = 4)
private const val ROUNDING = 1e-9

/** Models how an entry applies divisions. */
private class ModelEntry(val incarnation: Incarnation) {
    var division: AllowanceDivision? = null
    var validUntil: ComparableTimeMark? = null

    fun fraction(): Double {
        val isValid = validUntil?.hasNotPassedNow() ?: false
        return RULES.floor + if (isValid) division?.fractions?.get(ACCOUNT) ?: 0.0 else 0.0
    }

    fun apply(new: AllowanceDivision, requestedAt: ComparableTimeMark) {
        division = new
        validUntil = requestedAt + RULES.validity
    }
}

private fun incarnation(number: Int) = Incarnation(InstanceId("entry-$number"), "1")

class AllowanceDividerTest {
    private val time = TestTimeSource()
    private val divider = AllowanceDivider(RULES, time)

    private fun report(entry: Int, demand: Double, confirmed: Long = 0): AllowanceDivision =
        divider.divide(EntryDemand(incarnation(entry), mapOf(ACCOUNT to demand), confirmed))

    @Test
    fun `nothing is granted until the grants of the previous divider have expired`() {
        assertTrue(report(1, 100.0).fractions.isEmpty())
        time += RULES.validity + RULES.clockMargin + 1.milliseconds
        assertEquals(0.6, report(1, 100.0).fractions.getValue(ACCOUNT), ROUNDING)
    }

    @Test
    fun `shares follow the demand once entries have confirmed the reduced ones`() {
        time += 17.seconds
        val first = report(1, 100.0)
        assertEquals(0.0, report(2, 300.0).fractions.getValue(ACCOUNT), ROUNDING)
        val reduced = report(1, 100.0, first.generation)
        assertEquals(0.15, reduced.fractions.getValue(ACCOUNT), ROUNDING)
        report(1, 100.0, reduced.generation)
        assertEquals(0.45, report(2, 300.0).fractions.getValue(ACCOUNT), ROUNDING)
    }

    @Test
    fun `the share of a failed entry becomes available when it expires`() {
        time += 17.seconds
        report(1, 100.0)
        time += 17.seconds
        assertEquals(0.6, report(2, 100.0).fractions.getValue(ACCOUNT), ROUNDING)
    }
}

/** One step of a generated history: time passes, then an entry reports, and its reply may be delayed or lost. */
data class DivisionStep(
    val entry: Int,
    val demand: Int,
    val wait: Duration,
    val isReplyLost: Boolean,
    val replyDelay: Duration,
    val isNewDivider: Boolean,
)

class AllowanceDividerPropertyTest {
    @Provide
    fun steps(): Arbitrary<List<DivisionStep>> = Combinators.combine(
        Arbitraries.integers().between(0, 3),
        Arbitraries.integers().between(0, 1_000),
        Arbitraries.integers().between(0, 6_000).map { it.milliseconds },
        Arbitraries.integers().between(0, 3).map { it == 0 },
        Arbitraries.integers().between(0, 4_000).map { it.milliseconds },
        Arbitraries.integers().between(0, 19).map { it == 0 },
    ).`as`(::DivisionStep).list().ofMinSize(1).ofMaxSize(60)

    @Property(tries = 2_000, edgeCases = EdgeCasesMode.NONE)
    fun `all entries together never get more than the allowance`(@ForAll("steps") steps: List<DivisionStep>) {
        val time = TestTimeSource()
        val entries = List(4) { ModelEntry(incarnation(it)) }
        var divider = AllowanceDivider(RULES, time)
        for (step in steps) {
            time += step.wait
            if (step.isNewDivider) {
                divider = AllowanceDivider(RULES, time)
                entries.forEach { it.division = it.division?.copy(generation = 0) }
            }
            val entry = entries[step.entry]
            val requestedAt = time.markNow()
            val confirmed = entry.division?.generation ?: 0
            val demands = mapOf(ACCOUNT to step.demand.toDouble())
            val division = divider.divide(EntryDemand(entry.incarnation, demands, confirmed))
            time += step.replyDelay
            if (!step.isReplyLost) entry.apply(division, requestedAt)
            val sum = entries.sumOf(ModelEntry::fraction)
            assertTrue(sum <= 1 + ROUNDING, "the entries may use $sum of the allowance")
        }
    }
}
