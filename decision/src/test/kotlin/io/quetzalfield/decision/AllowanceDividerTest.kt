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

/** An entry as far as it takes divisions. */
private class ModelEntry(val incarnation: Incarnation) {
    var division: AllowanceDivision? = null
    var validUntil: ComparableTimeMark? = null

    fun fraction(): Double {
        val isValid = validUntil?.hasNotPassedNow() ?: false
        return RULES.floor + if (isValid) division?.fractions?.get(ACCOUNT) ?: 0.0 else 0.0
    }

    fun adopt(new: AllowanceDivision, askedAt: ComparableTimeMark) {
        division = new
        validUntil = askedAt + RULES.validity
    }
}

private fun incarnation(number: Int) = Incarnation(InstanceId("entry-$number"), "1")

class AllowanceDividerTest {
    private val time = TestTimeSource()
    private val divider = AllowanceDivider(RULES, time)

    private fun ask(entry: Int, demand: Double, confirmed: Long = 0): AllowanceDivision =
        divider.divide(EntryDemand(incarnation(entry), mapOf(ACCOUNT to demand), confirmed))

    @Test
    fun `nothing is granted until the grants of a former divider have lapsed`() {
        assertTrue(ask(1, 100.0).fractions.isEmpty())
        time += RULES.validity + RULES.clockMargin + 1.milliseconds
        assertEquals(0.6, ask(1, 100.0).fractions.getValue(ACCOUNT), ROUNDING)
    }

    @Test
    fun `shares follow the demand once the former ones are given up`() {
        time += 17.seconds
        val first = ask(1, 100.0)
        assertEquals(0.0, ask(2, 300.0).fractions.getValue(ACCOUNT), ROUNDING)
        val reduced = ask(1, 100.0, first.generation)
        assertEquals(0.15, reduced.fractions.getValue(ACCOUNT), ROUNDING)
        ask(1, 100.0, reduced.generation)
        assertEquals(0.45, ask(2, 300.0).fractions.getValue(ACCOUNT), ROUNDING)
    }

    @Test
    fun `the share of an entry that has died returns when it lapses`() {
        time += 17.seconds
        ask(1, 100.0)
        time += 17.seconds
        assertEquals(0.6, ask(2, 100.0).fractions.getValue(ACCOUNT), ROUNDING)
    }
}

/** One step of a history: time passes, then an entry reports, and its reply may be late or lost. */
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
    fun `the entries together never have more than the allowance`(@ForAll("steps") steps: List<DivisionStep>) {
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
            val askedAt = time.markNow()
            val confirmed = entry.division?.generation ?: 0
            val demands = mapOf(ACCOUNT to step.demand.toDouble())
            val division = divider.divide(EntryDemand(entry.incarnation, demands, confirmed))
            time += step.replyDelay
            if (!step.isReplyLost) entry.adopt(division, askedAt)
            val sum = entries.sumOf(ModelEntry::fraction)
            assertTrue(sum <= 1 + ROUNDING, "the entries may use $sum of the allowance")
        }
    }
}
