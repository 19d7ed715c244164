package io.quetzalfield.standins

import io.javalin.Javalin
import io.javalin.http.Context
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.REQUEST_ID_HEADER
import io.quetzalfield.support.startHttpServer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Clock

/**
 * Faults that a service stand-in simulates, set with `POST /faults`.
 *
 * @property loseAnswers whether operations run but their connections end without an answer.
 */
@Serializable
public data class ServiceFaults(val loseAnswers: Boolean = false)

/**
 * One operation that a service ran.
 *
 * @property startedAtEpochMilliseconds wall-clock time at which it started to run.
 */
@Serializable
public data class ServiceRun(
    val attempt: String,
    val operation: String,
    val body: String,
    val startedAtEpochMilliseconds: Long = 0,
)

/** A stand-in for a plain service, such as a booking service; it runs every operation, also a repeated one. */
public class ServiceStandIn(host: String, port: Int, private val clock: Clock = Clock.System) : AutoCloseable {
    private val runs = ConcurrentLinkedQueue<ServiceRun>()

    @Volatile
    private var faults = ServiceFaults()

    private val server: Javalin = startHttpServer(host, port) {
        post("/operations/{operation}", ::run)
        post("/faults") { faults = PlatformJson.decodeFromString(ServiceFaults.serializer(), it.body()) }
        get("/runs") { it.answer(ListSerializer(ServiceRun.serializer()), runs.toList()) }
    }

    /** The port that the stand-in listens on. */
    public val port: Int get() = server.port()

    /** All operations that have run, in order. */
    public fun allRuns(): List<ServiceRun> = runs.toList()

    /** Replaces the simulated faults. */
    public fun setFaults(newFaults: ServiceFaults) {
        faults = newFaults
    }

    private fun run(context: Context) {
        val attempt = context.header(REQUEST_ID_HEADER).orEmpty()
        val run = ServiceRun(
            attempt = attempt,
            operation = context.pathParam("operation"),
            body = context.body(),
            startedAtEpochMilliseconds = clock.now().toEpochMilliseconds(),
        )
        runs += run
        if (faults.loseAnswers) context.breakAnswer() else context.answer(ServiceRun.serializer(), run)
    }

    override fun close() {
        server.stop()
    }
}
