package io.quetzalfield.history

import io.quetzalfield.history.CallerOutcome.Answered
import io.quetzalfield.history.CallerOutcome.Cut
import io.quetzalfield.history.CallerOutcome.NotRun
import io.quetzalfield.history.HistoryEvent.BillsStored
import io.quetzalfield.history.HistoryEvent.EndpointCold
import io.quetzalfield.history.HistoryEvent.EvacuationOrdered
import io.quetzalfield.history.HistoryEvent.LeavingAnnounced
import io.quetzalfield.history.HistoryEvent.ListsAccepted
import io.quetzalfield.history.HistoryEvent.RequestEnded
import io.quetzalfield.history.HistoryEvent.RequestSent
import io.quetzalfield.history.HistoryEvent.RevisionSeen
import io.quetzalfield.history.HistoryEvent.RunStarted
import io.quetzalfield.history.HistoryEvent.SessionOpened
import io.quetzalfield.history.HistoryEvent.ShutdownStarted
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.SessionId
import io.quetzalfield.model.VersionState
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestFactory
import kotlin.reflect.KClass
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class PromiseCheckersTest {
    private class BrokenVariant(val name: String, val promise: Promise, val events: List<HistoryEvent>)

    private fun verdict(promise: Promise, events: List<HistoryEvent>): Verdict =
        checkAll(History(HistoryHeader(), events)).first { it.promise == promise }

    private fun plus(vararg added: HistoryEvent) = validEvents + added

    private fun ending(request: String, outcome: CallerOutcome) = validEvents.map { event ->
        if (event is RequestEnded && event.request == RequestId(request)) event.copy(outcome = outcome) else event
    }

    private fun billing(answers: Long, priceMicros: Long = answers * 10) =
        validEvents.filterNot { it is BillsStored } + billed(answers, priceMicros)

    private val entryNew = entryOne.copy(start = "c")
    private val operation = RequestOperation.NON_IDEMPOTENT_OPERATION
    private val brokenVariants = listOf(
        BrokenVariant(
            "a version outside the plan",
            Promise.PLAN_ALLOWS_VERSION,
            plus(ran(21_150, "two", versionThree)),
        ),
        BrokenVariant("a run without a request", Promise.PLAN_ALLOWS_VERSION, plus(ran(21_150, "nobody"))),
        BrokenVariant(
            "a withdrawn version given new work",
            Promise.WITHDRAWN_VERSION_IDLE,
            plus(ran(21_150, "two", versionOne)),
        ),
        BrokenVariant(
            "a withdrawn version given the work of its session",
            Promise.WITHDRAWN_VERSION_IDLE,
            plus(sent(25_000, "late", session = "s"), ran(25_100, "late", versionOne)),
        ),
        BrokenVariant(
            "a draining version given a request without a session",
            Promise.WITHDRAWN_VERSION_IDLE,
            plus(ListsAccepted(at(24_000), lists(3, VersionState.DRAINING)), sent(30_000, "new"))
                .plus(ran(30_100, "new", versionOne)),
        ),
        BrokenVariant(
            "a pin taken from the newest list",
            Promise.SESSION_KEEPS_VERSION,
            plus(sent(25_000, "pinned", session = "s"), ran(25_100, "pinned", versionTwo)),
        ),
        BrokenVariant(
            "an answer that names another version",
            Promise.SESSION_KEEPS_VERSION,
            ending("one", answered("one", version = versionTwo)),
        ),
        BrokenVariant("a bill per attempt", Promise.BILLED_ONCE, billing(answers = 4)),
        BrokenVariant("a bill lost with its entry", Promise.BILLED_ONCE, billing(answers = 2)),
        BrokenVariant("a price counted twice", Promise.BILLED_ONCE, billing(answers = 3, priceMicros = 40)),
        BrokenVariant("two answers to a key billed", Promise.BILLED_ONCE, ending("two-again", answered("two"))),
        BrokenVariant("crossed answers", Promise.WHOLE_OWN_ANSWER, ending("two", answered("one"))),
        BrokenVariant("a silent short answer", Promise.WHOLE_OWN_ANSWER, ending("two", Answered("answer to"))),
        BrokenVariant("NotRun after the first byte", Promise.NOT_RUN_IS_TRUE, ending("last", NotRun("no_runner"))),
        BrokenVariant("a run after NotRun", Promise.NOT_RUN_IS_TRUE, plus(ran(22_900, "refused"))),
        BrokenVariant("claims forgotten at restart", Promise.AT_MOST_ONCE, plus(ran(23_900, "booking", null))),
        BrokenVariant(
            "a ticket run by two entries",
            Promise.AT_MOST_ONCE,
            plus(
                sent(23_050, "booking-again", key = "booking", entry = entryTwo, operation = operation),
                ran(23_150, "booking", null, runner = "service-2"),
            ),
        ),
        BrokenVariant(
            "a leaving endpoint given work after the bound",
            Promise.LEAVING_ENDPOINT_IDLE,
            plus(ran(21_150, "two", runner = "runner-2")),
        ),
        BrokenVariant("a shutdown that cuts a request", Promise.SHUTDOWN_CUTS_NOTHING, ending("last", Cut())),
        BrokenVariant(
            "a shutdown that leaves a request without an end",
            Promise.SHUTDOWN_CUTS_NOTHING,
            validEvents.filterNot { it is RequestEnded && it.request == RequestId("last") },
        ),
        BrokenVariant("a revision that goes back", Promise.LISTS_IN_FORCE, plus(seen(16_500, entryTwo, 1))),
        BrokenVariant("an entry that never receives a change", Promise.LISTS_IN_FORCE, plus(seen(16_500, entryNew, 1))),
        BrokenVariant(
            "two operators who both get revision 3",
            Promise.LISTS_IN_FORCE,
            plus(ListsAccepted(at(24_000), lists(3)), ListsAccepted(at(24_001), lists(3))),
        ),
        BrokenVariant(
            "an evacuated failure domain given a request just after the bound",
            Promise.EVACUATED_DOMAIN_IDLE,
            plus(arrived(36_001, "runner-3", "east", entryTwo)),
        ),
        BrokenVariant(
            "a second order that is not followed",
            Promise.EVACUATED_DOMAIN_IDLE,
            plus(EvacuationOrdered(at(60_000), FailureDomainId("east")), arrived(65_001, "runner-3", "east")),
        ),
        BrokenVariant(
            "a cold endpoint given one request more than it bears",
            Promise.COLD_ENDPOINT_SPARED,
            plus(arrived(51_289, "runner-3", "east")),
        ),
    )

    /** The kinds of events without which a promise has nothing to check. */
    private val needed: Map<Promise, KClass<out HistoryEvent>> = mapOf(
        Promise.PLAN_ALLOWS_VERSION to RunStarted::class,
        Promise.WITHDRAWN_VERSION_IDLE to ListsAccepted::class,
        Promise.SESSION_KEEPS_VERSION to RequestSent::class,
        Promise.BILLED_ONCE to BillsStored::class,
        Promise.WHOLE_OWN_ANSWER to RequestEnded::class,
        Promise.NOT_RUN_IS_TRUE to RequestEnded::class,
        Promise.AT_MOST_ONCE to RunStarted::class,
        Promise.LEAVING_ENDPOINT_IDLE to LeavingAnnounced::class,
        Promise.SHUTDOWN_CUTS_NOTHING to ShutdownStarted::class,
        Promise.LISTS_IN_FORCE to RevisionSeen::class,
        Promise.EVACUATED_DOMAIN_IDLE to EvacuationOrdered::class,
        Promise.COLD_ENDPOINT_SPARED to EndpointCold::class,
    )

    @Nested
    inner class ValidHistories {
        @Test
        fun `every promise holds and has cases`() {
            checkAll(History(HistoryHeader(), validEvents)).forEach { assertIs<Verdict.Holds>(it, "$it") }
        }

        @Test
        fun `a request whose caller received no answer may be billed or not`() {
            val cut = ending("two-again", Cut()).let { events ->
                events.map {
                    if (it is RequestEnded &&
                        it.request == RequestId("two")
                    ) {
                        it.copy(outcome = Cut())
                    } else {
                        it
                    }
                }
            }.filterNot { it is BillsStored }
            for (answers in 2L..3L) assertIs<Verdict.Holds>(verdict(Promise.BILLED_ONCE, cut + billed(answers)))
        }

        @Test
        fun `requests at the bound of an evacuation and of a cold endpoint are valid`() {
            val atBounds = plus(
                arrived(36_000, "runner-3", "east"),
                arrived(51_290, "runner-3", "east"),
            )
            assertIs<Verdict.Holds>(verdict(Promise.EVACUATED_DOMAIN_IDLE, atBounds))
            assertIs<Verdict.Holds>(verdict(Promise.COLD_ENDPOINT_SPARED, atBounds))
        }

        @Test
        fun `a refused send is valid if another send of the same key runs`() {
            val events = plus(
                sent(25_000, "first", key = "both"),
                ran(25_100, "both"),
                sent(25_200, "second", key = "both", entry = entryTwo),
                ended(25_300, "second", NotRun("shutting_down")),
            )
            assertIs<Verdict.Holds>(verdict(Promise.NOT_RUN_IS_TRUE, events))
        }
    }

    @Nested
    inner class BrokenVariants {
        @TestFactory
        fun `is rejected`(): List<DynamicTest> = brokenVariants.map { variant ->
            DynamicTest.dynamicTest(variant.name) {
                assertIs<Verdict.Broken>(verdict(variant.promise, variant.events))
            }
        }

        @Test
        fun `every promise has one`() {
            assertEquals(Promise.entries.toSet(), brokenVariants.map { it.promise }.toSet())
        }
    }

    @Nested
    inner class IrrelevantHistories {
        @Test
        fun `no promise holds over an empty history`() {
            checkAll(History(HistoryHeader(), emptyList())).forEach { assertIs<Verdict.NothingToCheck>(it) }
        }

        @TestFactory
        fun `has nothing to check without its events`(): List<DynamicTest> = needed.map { (promise, kind) ->
            DynamicTest.dynamicTest("$promise without ${kind.simpleName}") {
                assertIs<Verdict.NothingToCheck>(verdict(promise, validEvents.filterNot(kind::isInstance)))
            }
        }

        @Test
        fun `a session without requests is no case`() {
            val events = listOf(SessionOpened(at(1), SessionId("s"), versionOne))
            assertIs<Verdict.NothingToCheck>(verdict(Promise.SESSION_KEEPS_VERSION, events))
        }
    }
}
