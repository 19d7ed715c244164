package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.configuration.Repeatability
import io.quetzalfield.forwarding.configuration.Route
import io.quetzalfield.forwarding.configuration.WeightedService
import io.quetzalfield.model.ServiceId
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class SilencePolicyTest {
    private fun route(isStream: Boolean) = Route(
        name = "route",
        host = "a.example",
        prefix = "/",
        repeatability = Repeatability.IDEMPOTENT,
        services = listOf(WeightedService(ServiceId("service"), 1)),
        isStream = isStream,
        timeout = 15_000.milliseconds,
        objective = if (isStream) 3_000.milliseconds else 100.milliseconds,
        longestPause = 1_500.milliseconds,
    )

    @ParameterizedTest
    @CsvSource(
        "true, 100, 100, WAIT",
        "true, 1200, 9000, WAIT",
        "true, 9000, 1200, WAIT",
        "true, 1400, 1400, PROBE",
        "true, 1400, 3800, PROBE",
        "true, 1400, 4000, LEAVE",
        "false, 100, 100, WAIT",
        "false, 0, 260, LEAVE",
        "false, 9000, 240, WAIT",
    )
    fun `the verdict depends on the silence of the endpoint and of the attempt`(
        isStream: Boolean,
        ofEndpoint: Int,
        ofAttempt: Int,
        expected: SilenceVerdict,
    ) {
        val verdict = SilencePolicy.verdict(route(isStream), ofEndpoint.milliseconds, ofAttempt.milliseconds)
        assertEquals(expected, verdict)
    }

    /** The objective is half of the time that the call has, so that twice the objective leaves none for another one. */
    @ParameterizedTest
    @CsvSource(
        "900, 900, WAIT",
        "1000, 1000, LEAVE",
        "9000, 1000, LEAVE",
        "200, 1900, WAIT",
        "0, 2000, LEAVE",
    )
    fun `a call leaves an endpoint that answers no other call while time for another endpoint is left`(
        ofEndpoint: Int,
        ofAttempt: Int,
        expected: SilenceVerdict,
    ) {
        val route = route(isStream = false).copy(objective = 1_000.milliseconds)
        val (endpoint, attempt) = listOf(ofEndpoint, ofAttempt).map { it.milliseconds }
        val given = 2_000.milliseconds
        assertEquals(expected, SilencePolicy.verdict(route, endpoint, attempt, given))
        val isOver = SilencePolicy.timeUntilVerdict(route, endpoint, attempt, given) <= Duration.ZERO
        assertEquals(expected != SilenceVerdict.WAIT, isOver)
    }
}
