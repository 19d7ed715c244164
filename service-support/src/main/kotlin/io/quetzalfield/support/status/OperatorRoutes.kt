package io.quetzalfield.support.status

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.javalin.http.HttpStatus
import kotlinx.serialization.KSerializer

/** Answers `GET /operator/status` with [status] as JSON, and `GET /` with the same as a page that refreshes itself. */
public fun RoutesConfig.addStatusRoutes(status: () -> DaemonStatus) {
    get("/operator/status") { it.answerStatusJson(DaemonStatus.serializer(), status()) }
    get("/") { it.html(statusPage(status())) }
}

/** Answers with [value] as JSON, or with status 404 when it is `null`. */
public fun <T : Any> Context.answerStatusJson(serializer: KSerializer<T>, value: T?) {
    if (value == null) {
        status(HttpStatus.NOT_FOUND)
    } else {
        contentType("application/json").result(statusJson.encodeToString(serializer, value))
    }
}
