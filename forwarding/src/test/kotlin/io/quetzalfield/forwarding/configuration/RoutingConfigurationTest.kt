package io.quetzalfield.forwarding.configuration

import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.StoreRevision
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals

class RoutingConfigurationTest {
    private fun route(host: String, prefix: String) = Route(
        name = "$host$prefix",
        host = host,
        prefix = prefix,
        repeatability = Repeatability.IDEMPOTENT,
        services = listOf(WeightedService(ServiceId("bookings"), 1)),
    )

    private val configuration = RoutingConfiguration(
        StoreRevision(1),
        version = 1,
        routes = listOf(
            route("a.example", "/"),
            route("a.example", "/x/"),
            route("a.example", "/x/y/"),
            route("b.example", "/x/"),
        ),
        services = emptyList(),
        limits = CallerLimits(),
        requiresKey = false,
        accounts = emptyMap(),
    )

    @ParameterizedTest
    @CsvSource(
        "a.example, /x/y/z, a.example/x/y/",
        "a.example, /x/y, a.example/x/",
        "a.example, /x/yy/z, a.example/x/",
        "a.example, /x, a.example/",
        "a.example, /, a.example/",
        "b.example, /x/1, b.example/x/",
        "b.example, /y/1, none",
        "c.example, /x/1, none",
        "b.example, x, none",
    )
    fun `the longest prefix of the host decides`(host: String, path: String, expected: String) {
        assertEquals(expected, configuration.route(host, path)?.name ?: "none")
    }
}
