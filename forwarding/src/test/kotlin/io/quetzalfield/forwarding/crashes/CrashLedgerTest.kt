package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private const val SYSTEM = "5e5e"
private const val SUBJECT = "50b1"
private const val FATAL = "fa7a1"

class CrashLedgerTest {
    private val time = TestTimeSource()
    private val rules = CrashRules()
    private val ledger = ledger()
    private var requests = 0
    private var endpoints = 0

    private fun ledger(trialRank: Int = 0) = CrashLedger(time, rules, trialRank = { trialRank })

    private fun candidate(vararg parts: String, hasBegun: Boolean = true, request: String = "request-${++requests}") =
        CrashCandidate(RequestFingerprint(request), parts.toList(), hasBegun)

    /** Lets the next endpoint end with [candidates] on it, as [ledger] sees it. */
    private fun crash(vararg candidates: CrashCandidate, ledger: CrashLedger = this.ledger): RunnerId {
        val endpoint = RunnerId("runner-${++endpoints}@1")
        candidates.forEach { ledger.recordLoss(endpoint, it) }
        ledger.confirm(endpoint)
        return endpoint
    }

    private fun wait(duration: Duration, ledger: CrashLedger = this.ledger) {
        ledger.decide()
        time += duration
        ledger.decide()
    }

    private fun settle(ledger: CrashLedger = this.ledger) = wait(rules.settling, ledger)

    private fun CrashLedger.admits(vararg parts: String): Boolean =
        admission(parts.toList()) { RequestFingerprint("new-${++requests}") } == CrashAdmission.Allowed

    /** Three endpoints end by requests with the fatal part; the other parts were answered before. */
    private fun blameFatalPart(pause: Duration = 100.milliseconds) {
        ledger.recordAnswer(listOf(SYSTEM), time.markNow())
        repeat(rules.partCrashes) {
            time += pause
            crash(candidate(SYSTEM, FATAL))
        }
        settle()
    }

    @Nested
    inner class OneFatalPart {
        @Test
        fun `is refused after three crashes, and the parts that it was seen with are not`() {
            blameFatalPart()
            assertEquals(false, ledger.admits(SYSTEM, FATAL))
            assertTrue(ledger.admits(SYSTEM))
        }

        @Test
        fun `is found when all its crashes fall into the same moment`() {
            blameFatalPart(pause = 1.milliseconds)
            assertEquals(false, ledger.admits(FATAL))
        }

        @Test
        fun `is not refused after two crashes`() {
            repeat(2) { crash(candidate(FATAL)) }
            settle()
            assertTrue(ledger.admits(FATAL))
        }

        @Test
        fun `is found among the parts of requests that waited at the same endpoints`() {
            repeat(3) {
                time += 100.milliseconds
                val waiting = (1..20).map { candidate(SYSTEM, "$SUBJECT$it", hasBegun = false) }
                crash(candidate(SYSTEM, FATAL), *waiting.toTypedArray())
            }
            settle()
            assertEquals(false, ledger.admits(FATAL))
            assertTrue((1..20).all { ledger.admits("$SUBJECT$it") })
        }

        @Test
        fun `is found when it was answered before and crashes endpoints from then on`() {
            ledger.recordAnswer(listOf(FATAL), time.markNow())
            repeat(rules.answeredPartCrashes) {
                time += 400.milliseconds
                crash(candidate(FATAL))
            }
            wait(rules.answeredSettling)
            assertEquals(false, ledger.admits(FATAL))
        }

        @Test
        fun `is found when requests wait for no answer to begin, and no head of a response arrives`() {
            repeat(3) {
                time += 100.milliseconds
                crash(candidate(SYSTEM, FATAL, hasBegun = false))
            }
            ledger.recordAnswer(listOf(SYSTEM), time.markNow())
            settle()
            assertEquals(false, ledger.admits(FATAL))
        }

        @Test
        fun `is found beside a second one`() {
            repeat(3) {
                time += 100.milliseconds
                crash(candidate(FATAL))
                crash(candidate("$FATAL-2"))
            }
            settle()
            assertEquals(listOf(false, false), listOf(FATAL, "$FATAL-2").map { ledger.admits(it) })
        }
    }

    @Nested
    inner class SoundParts {
        @Test
        fun `are cleared by an answer that began after the losses`() {
            ledger.recordAnswer(listOf(SYSTEM), time.markNow())
            repeat(6) {
                time += 400.milliseconds
                crash(candidate(SYSTEM))
                ledger.recordAnswer(listOf(SYSTEM), time.markNow())
            }
            settle()
            assertTrue(ledger.admits(SYSTEM))
        }

        /** The answers that clear them begin after the losses and take a while to show that the endpoint lives on. */
        @Test
        fun `that a fatal part shares its losses with stay when it was answered before, too`() {
            ledger.recordAnswer(listOf(SYSTEM, FATAL), time.markNow())
            repeat(rules.answeredPartCrashes) {
                time += 400.milliseconds
                crash(candidate(SYSTEM, FATAL), candidate(SYSTEM))
            }
            ledger.decide()
            time += 1.milliseconds
            val startedAt = time.markNow()
            wait(rules.answeredSettling - 100.milliseconds)
            ledger.recordAnswer(listOf(SYSTEM), startedAt)
            wait(100.milliseconds)
            assertTrue(ledger.admits(SYSTEM))
            assertEquals(false, ledger.admits(FATAL))
        }

        /** The sound part lost an endpoint more at first, so that there is enough against it a while earlier. */
        @Test
        fun `that qualify first are not refused while another part explains more`() {
            ledger.recordAnswer(listOf(SYSTEM, FATAL), time.markNow())
            time += 400.milliseconds
            crash(candidate(SYSTEM))
            repeat(3) {
                time += 400.milliseconds
                crash(candidate(SYSTEM, FATAL))
            }
            ledger.decide()
            repeat(2) {
                time += 400.milliseconds
                crash(candidate(SUBJECT, FATAL))
                ledger.decide()
            }
            wait(250.milliseconds)
            assertTrue(ledger.admits(SYSTEM))
            wait(rules.answeredSettling)
            assertEquals(listOf(true, false), listOf(SYSTEM, FATAL).map { ledger.admits(it) })
        }

        @Test
        fun `that were refused first are cleared when another part explains all of their losses and more`() {
            repeat(3) {
                time += 100.milliseconds
                crash(candidate(FATAL, SUBJECT))
            }
            settle()
            assertEquals(false, ledger.admits(SUBJECT))
            repeat(3) {
                time += 100.milliseconds
                crash(candidate(FATAL, "$SUBJECT$it"))
            }
            settle()
            assertEquals(false, ledger.admits(FATAL))
            assertTrue(ledger.admits(SUBJECT))
        }

        @Test
        fun `stay when many endpoints are lost at the same time`() {
            ledger.recordAnswer(listOf(SYSTEM, SUBJECT), time.markNow())
            time += 1.seconds
            repeat(8) { crash(candidate(SYSTEM, SUBJECT), candidate(SYSTEM)) }
            wait(3.seconds)
            assertTrue(ledger.admits(SYSTEM, SUBJECT))
        }

        @Test
        fun `stay when connections are reset and the endpoints live on`() {
            repeat(8) { ledger.recordLoss(RunnerId("runner-$it@1"), candidate(SYSTEM)) }
            wait(1.seconds)
            assertTrue(ledger.admits(SYSTEM))
        }

        @Test
        fun `of one request that crashes endpoints are not refused`() {
            repeat(4) {
                time += 300.milliseconds
                crash(candidate(SYSTEM, SUBJECT, request = "fatal"))
            }
            settle()
            assertTrue(ledger.admits(SYSTEM, SUBJECT))
        }

        @Test
        fun `return everywhere once one of their requests is answered`() {
            val other = ledger()
            blameFatalPart()
            other.learn(ledger.takeNews())
            assertEquals(false, other.admits(FATAL))
            time += 1.seconds
            other.recordAnswer(listOf(FATAL), time.markNow())
            assertTrue(other.admits(FATAL))
            ledger.learn(other.takeNews())
            assertTrue(ledger.admits(FATAL))
            ledger.learn(other.recentNews())
            assertTrue(ledger.admits(FATAL))
        }
    }

    @Nested
    inner class Requests {
        @Test
        fun `with a sound prompt that lost two endpoints to a fatal part are not refused`() {
            val sound = candidate(SYSTEM, SUBJECT)
            repeat(3) {
                time += 100.milliseconds
                crash(candidate(SYSTEM, FATAL), sound)
            }
            ledger.recordAnswer(listOf(SYSTEM), time.markNow())
            ledger.recordAnswer(listOf(SUBJECT), time.markNow())
            ledger.admission(sound.parts) { sound.request }
            settle()
            assertEquals(CrashAdmission.Allowed, ledger.admission(sound.parts) { sound.request })
        }

        @Test
        fun `are refused after two crashes and again allowed after their time`() {
            val fatal = candidate(request = "fatal")
            repeat(2) { crash(fatal) }
            assertIs<CrashAdmission.Refused>(ledger.admission(emptyList()) { fatal.request })
            wait(rules.retention)
            assertEquals(CrashAdmission.Allowed, ledger.admission(emptyList()) { fatal.request })
        }

        @Test
        fun `are allowed again after their time when nothing else happens meanwhile`() {
            val fatal = candidate(request = "fatal")
            repeat(2) { crash(fatal) }
            assertIs<CrashAdmission.Refused>(ledger.admission(emptyList()) { fatal.request })
            time += rules.retention
            ledger.removeExpired()
            assertEquals(CrashAdmission.Allowed, ledger.admission(emptyList()) { fatal.request })
        }

        @Test
        fun `that are refused are told again in a bounded number of messages`() {
            repeat(200) { number ->
                val fatal = candidate(request = "fatal-$number")
                repeat(2) { crash(fatal) }
                ledger.admission(emptyList()) { fatal.request }
            }
            assertTrue(ledger.recentNews().blames.size <= 32)
        }

        @Test
        fun `are refused on all instances when each lost one endpoint to them`() {
            val fatal = candidate(request = "fatal")
            val other = ledger()
            crash(fatal)
            crash(fatal, ledger = other)
            other.learn(ledger.takeNews())
            ledger.learn(other.takeNews())
            val admissions = listOf(ledger, other).map { it.admission(emptyList()) { fatal.request } }
            admissions.forEach { assertIs<CrashAdmission.Refused>(it) }
        }

        @Test
        fun `whose loss is seen by several instances have lost one endpoint`() {
            val other = ledger()
            val fatal = candidate(request = "fatal")
            for (seenBy in listOf(ledger, other)) seenBy.recordLoss(RunnerId("runner@1"), fatal)
            other.learn(ledger.takeNews())
            assertEquals(CrashAdmission.Allowed, other.admission(emptyList()) { fatal.request })
        }
    }

    @Nested
    inner class Trials {
        private val admissions get() = generateSequence { ledger.admission(listOf(FATAL)) { RequestFingerprint("x") } }

        @Test
        fun `are made by one request after a pause, by one instance`() {
            blameFatalPart()
            assertIs<CrashAdmission.Refused>(admissions.first())
            wait(rules.doubtfulPause)
            assertIs<CrashAdmission.Trial>(admissions.first())
            assertIs<CrashAdmission.Refused>(admissions.first())
            val other = ledger(trialRank = 1)
            other.learn(ledger.takeNews())
            wait(rules.doubtfulPause, other)
            assertEquals(false, other.admits(FATAL))
        }

        @Test
        fun `that are answered let all requests through`() {
            blameFatalPart()
            wait(rules.doubtfulPause)
            assertIs<CrashAdmission.Trial>(admissions.first())
            ledger.recordAnswer(listOf(FATAL), time.markNow())
            assertTrue(ledger.admits(FATAL))
        }

        @Test
        fun `stay rare after the fifth crash`() {
            blameFatalPart()
            var crashes = rules.partCrashes
            var sinceFifth = 0
            repeat(600) {
                wait(1.seconds)
                if (ledger.admission(listOf(FATAL)) { RequestFingerprint("x") } is CrashAdmission.Trial) {
                    if (crashes >= 5) sinceFifth++
                    crashes++
                    crash(candidate(FATAL))
                }
            }
            assertTrue(sinceFifth <= 3, "$sinceFifth trials in ten minutes after the fifth crash")
        }

        /** A part that was answered before [CrashRules.certainCrashes] endpoints ended by requests with it. */
        private fun blameAnsweredPart() {
            ledger.recordAnswer(listOf(FATAL), time.markNow())
            repeat(rules.certainCrashes) {
                time += 400.milliseconds
                crash(candidate(FATAL))
            }
            wait(rules.answeredSettling)
            assertIs<CrashAdmission.Refused>(admissions.first())
        }

        @Test
        fun `come as soon at an instance that was told that the part was answered before`() {
            blameAnsweredPart()
            val holder = ledger()
            holder.learn(ledger.recentNews())
            val started = ledger()
            started.learn(CrashNews(blames = ledger.ownDecisions()))
            time += rules.answeredCertainPause
            listOf(holder, started).forEach {
                assertIs<CrashAdmission.Trial>(it.admission(listOf(FATAL)) { RequestFingerprint("x") })
            }
        }

        @Test
        fun `are made by the next instance when the first one gets no request or is cut off`() {
            blameAnsweredPart()
            val second = ledger(trialRank = 1)
            val third = ledger(trialRank = 2)
            listOf(second, third).forEach { it.learn(ledger.recentNews()) }
            time += rules.answeredCertainPause * 2 - rules.answeredSettling - 1.seconds
            assertEquals(false, second.admits(FATAL))
            time += 1.seconds
            assertEquals(false, third.admits(FATAL))
            assertIs<CrashAdmission.Trial>(second.admission(listOf(FATAL)) { RequestFingerprint("x") })
        }

        @Test
        fun `that one instance makes put off those of the others`() {
            blameAnsweredPart()
            val second = ledger(trialRank = 1)
            second.learn(ledger.recentNews())
            time += rules.answeredCertainPause
            assertIs<CrashAdmission.Trial>(admissions.first())
            second.learn(ledger.takeNews())
            time += rules.answeredCertainPause * 3
            assertEquals(false, second.admits(FATAL))
            time += rules.answeredCertainPause
            assertIs<CrashAdmission.Trial>(second.admission(listOf(FATAL)) { RequestFingerprint("x") })
        }

        @Test
        fun `go on for as long as requests come`() {
            blameFatalPart()
            repeat(180) {
                wait(1.minutes)
                ledger.admission(listOf(FATAL)) { RequestFingerprint("x") }
            }
            assertIs<CrashAdmission.Refused>(admissions.first())
            wait(rules.retention)
            assertTrue(ledger.admits(FATAL))
        }
    }

    @Nested
    inner class Fleet {
        @Test
        fun `crashes at instances that saw one each count together`() {
            val others = List(3) { ledger() }
            others.forEach { other ->
                time += 100.milliseconds
                crash(candidate(SYSTEM, FATAL), ledger = other)
            }
            others.forEach { ledger.learn(it.takeNews()) }
            ledger.recordAnswer(listOf(SYSTEM), time.markNow())
            settle()
            assertEquals(false, ledger.admits(FATAL))
        }

        @Test
        fun `an instance that starts learns from the kept decisions, also again and again`() {
            blameFatalPart()
            val kept = CrashNews(blames = ledger.ownDecisions())
            val started = ledger()
            repeat(3) { started.learn(kept) }
            assertEquals(false, started.admits(FATAL))
            time += 1.seconds
            started.recordAnswer(listOf(FATAL), time.markNow())
            started.learn(kept)
            assertTrue(started.admits(FATAL))
        }

        /** As a process that was stopped does, or one whose messages were held up. */
        @Test
        fun `a loss that is reported late again is counted once`() {
            val others = List(2) { ledger() }
            val reports = others.map { other ->
                crash(candidate(SYSTEM, FATAL), ledger = other)
                other.takeNews()
            }
            reports.forEach(ledger::learn)
            time += rules.sameLoss * 2
            reports.forEach(ledger::learn)
            settle()
            assertTrue(ledger.admits(FATAL))
        }

        @Test
        fun `answers that others know of clear a part before it is refused`() {
            val other = ledger()
            repeat(3) {
                time += 100.milliseconds
                crash(candidate(SYSTEM))
            }
            time += 1.milliseconds
            other.recordAnswer(listOf(SYSTEM), time.markNow())
            other.learn(ledger.takeNews())
            ledger.learn(other.takeNews())
            settle()
            assertTrue(ledger.admits(SYSTEM))
        }

        @Test
        fun `memory stays bounded with any number of parts, requests and endpoints`() {
            repeat(20_000) {
                ledger.recordAnswer(listOf("part-$it"), time.markNow())
                if (it % 20 == 0) crash(candidate("rare-$it"), candidate("rare-$it", hasBegun = false))
                time += 10.milliseconds
            }
            ledger.decide()
            assertTrue(ledger.recentNews().losses.size < 100)
            assertTrue(ledger.blamedCount <= 256)
        }
    }
}
