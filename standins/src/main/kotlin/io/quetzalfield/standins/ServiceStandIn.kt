package io.quetzalfield.standins

import io.javalin.Javalin
import io.javalin.http.Context
import io.quetzalfield.platform.engine.REQUEST_ID_HEADER
import io.quetzalfield.support.startHttpServer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import java.util.concurrent.ConcurrentLinkedQueue

/** One operation that a service ran. */
@Serializable
public data class ServiceRun(val attempt: String, val operation: String, val body: String)

/** Stands in for a plain service, such as one that takes bookings: it runs whatever it is sent, each time anew. */
public class ServiceStandIn(host: String, port: Int) : AutoCloseable {
    private val runs = ConcurrentLinkedQueue<ServiceRun>()

    private val server: Javalin = startHttpServer(host, port) {
        post("/operations/{operation}", ::run)
        get("/runs") { it.answer(ListSerializer(ServiceRun.serializer()), runs.toList()) }
    }

    /** The port that it listens at. */
    public val port: Int get() = server.port()

    /** All operations that ran, in order. */
    public fun allRuns(): List<ServiceRun> = runs.toList()

    private fun run(context: Context) {
        val attempt = context.header(REQUEST_ID_HEADER).orEmpty()
        val run = ServiceRun(attempt, context.pathParam("operation"), context.body())
        runs += run
        context.answer(ServiceRun.serializer(), run)
    }

    override fun close() {
        server.stop()
    }
}
