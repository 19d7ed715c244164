package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private const val PART = "fa7a1"

/** Load pattern: many requests meet a few endpoints that reset calls and live on, beside endpoints that end. */
class RefutedLossTest {
    private val time = TestTimeSource()
    private val rules = CrashRules()
    private val ledger = CrashLedger(time, rules)
    private val request = RequestFingerprint("request")
    private val endpoints = List(3) { RunnerId("runner-$it@1") }

    private fun lose(endpoint: RunnerId, parts: List<String> = emptyList(), by: RequestFingerprint = request) =
        ledger.recordLoss(endpoint, CrashCandidate(by, parts, hasBegun = parts.isNotEmpty()))

    private fun admission(of: RequestFingerprint = request) = ledger.admission(emptyList()) { of }

    private fun loseToTwo(isConfirmed: Boolean = false) = endpoints.take(2).forEach {
        lose(it)
        if (isConfirmed) ledger.confirm(it)
    }

    @Nested
    inner class Requests {
        @Test
        fun `that meet the same few endpoints are not refused`() {
            val refused = (1..60).count { number ->
                time += 300.milliseconds
                val own = RequestFingerprint("request-$number")
                for (endpoint in listOf(endpoints[number % 3], endpoints[(number + 1) % 3])) {
                    ledger.recordAlive(endpoint, time.markNow())
                    lose(endpoint, by = own)
                }
                time += 300.milliseconds
                endpoints.forEach { ledger.recordAlive(it, time.markNow()) }
                admission(own) is CrashAdmission.Refused
            }
            assertEquals(0, refused)
            assertEquals(0, ledger.blamedCount)
        }

        @Test
        fun `wait for evidence and are allowed again without it, and nothing is told of them`() {
            loseToTwo()
            assertIs<CrashAdmission.Refused>(admission())
            assertEquals(emptyList(), ledger.recentNews().blames)
            time += rules.confirmationTime
            assertEquals(CrashAdmission.Allowed, admission())
        }

        @Test
        fun `are refused when the evidence comes seconds later`() {
            loseToTwo()
            time += 4.seconds
            endpoints.take(2).forEach { ledger.confirm(it, isCertain = true) }
            assertIs<CrashAdmission.Refused>(admission())
            time += 1.minutes
            ledger.decide()
            assertEquals(1, ledger.blamedCount)
        }

        @Test
        fun `are allowed everywhere when an endpoint is heard of again`() {
            loseToTwo(isConfirmed = true)
            admission()
            val other = CrashLedger(time, rules).apply { learn(ledger.takeNews()) }
            assertEquals(listOf(1, 1), listOf(ledger, other).map { it.blamedCount })
            time += 1.seconds
            assertTrue(ledger.recordAlive(endpoints[0], time.markNow()))
            other.learn(ledger.takeNews())
            assertEquals(listOf(0, 0), listOf(ledger, other).map { it.blamedCount })
            assertEquals(CrashAdmission.Allowed, other.admission(emptyList()) { request })
        }
    }

    @Nested
    inner class Endpoints {
        @Test
        fun `whose entry shows the end do not count as alive by a late report`() {
            loseToTwo()
            endpoints.forEach { ledger.confirm(it, isCertain = true) }
            time += 1.seconds
            assertEquals(false, ledger.recordAlive(endpoints[0], time.markNow()))
            assertIs<CrashAdmission.Refused>(admission())
        }

        @Test
        fun `that were alive after one loss may end later`() {
            lose(endpoints[0], listOf(PART))
            time += 1.seconds
            ledger.recordAlive(endpoints[0], time.markNow())
            endpoints.forEachIndexed { number, endpoint ->
                time += 500.milliseconds
                lose(endpoint, listOf(PART), RequestFingerprint("request-$number"))
                ledger.confirm(endpoint)
            }
            ledger.decide()
            time += rules.settling
            ledger.decide()
            assertIs<CrashAdmission.Refused>(ledger.admission(listOf(PART)) { RequestFingerprint("new") })
        }

        @Test
        fun `are not alive by what was sent before their loss`() {
            val sentAt = time.markNow()
            time += 1.seconds
            loseToTwo(isConfirmed = true)
            assertEquals(false, ledger.recordAlive(endpoints[0], sentAt))
        }
    }

    /** A sound look-up that many send may have been at two endpoints that ended for another reason. */
    @Nested
    inner class Trials {
        @Test
        fun `let a request through that is sound`() {
            loseToTwo(isConfirmed = true)
            assertIs<CrashAdmission.Refused>(admission())
            time += rules.doubtfulPause
            assertIs<CrashAdmission.Trial>(admission())
            assertIs<CrashAdmission.Refused>(admission())
            ledger.recordAnswer(request)
            assertEquals(CrashAdmission.Allowed, admission())
        }

        @Test
        fun `of a request that crashes endpoints are few after the third`() {
            loseToTwo(isConfirmed = true)
            var later = 0
            repeat(3_000) { second ->
                time += 1.seconds
                if (admission() !is CrashAdmission.Trial) return@repeat
                val endpoint = RunnerId("runner-$second@2")
                lose(endpoint)
                ledger.confirm(endpoint)
                ledger.decide()
                later++
            }
            // The first of these is the third crash.
            assertTrue(later - 1 <= 3, "${later - 1} trials after the third crash")
        }
    }
}
