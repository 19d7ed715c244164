package io.quetzalfield.support.status

import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.javalin.http.HttpStatus
import kotlinx.serialization.KSerializer

/** Serves [status] as JSON at `GET /operator/status`, and as a page that refreshes itself at `GET /`. */
public fun RoutesConfig.addStatusRoutes(status: () -> DaemonStatus) {
    get("/operator/status") { it.answerStatusJson(DaemonStatus.serializer(), status()) }
    get("/") { it.html(statusPage(status())) }
}

/** Responds with [value] as JSON, or with status 404 when it is `null`. */
public fun <T : Any> Context.answerStatusJson(serializer: KSerializer<T>, value: T?) {
    if (value == null) {
        status(HttpStatus.NOT_FOUND)
    } else {
        contentType("application/json").result(statusJson.encodeToString(serializer, value))
    }
}
