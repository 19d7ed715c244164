package io.quetzalfield.entry

import io.javalin.config.RoutesConfig
import io.quetzalfield.model.RequestId
import io.quetzalfield.support.status.RequestExplanation
import io.quetzalfield.support.status.RequestSummary
import io.quetzalfield.support.status.addStatusRoutes
import io.quetzalfield.support.status.answerStatusJson
import io.quetzalfield.support.writeMetrics
import kotlinx.serialization.builtins.ListSerializer

/** The HTTP API for operators, which has a separate address. */
internal class OperatorApi(private val status: EntryStatus, private val metrics: EntryMetrics) {
    fun addRoutes(routes: RoutesConfig) {
        routes.addStatusRoutes(status::status)
        routes.get("/operator/requests") {
            it.answerStatusJson(ListSerializer(RequestSummary.serializer()), status.latest())
        }
        routes.get("/operator/requests/{id}") {
            val request = RequestId(it.pathParam("id"))
            it.answerStatusJson(RequestExplanation.serializer(), status.explanation(request))
        }
        routes.get("/metrics") { writeMetrics(it, metrics.registry) }
    }
}
