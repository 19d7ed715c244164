package io.quetzalfield.standins

import arrow.core.Either
import io.javalin.Javalin
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.store.AnswerToRate
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.Rating
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import io.quetzalfield.store.fakes.InMemoryRatingService
import io.quetzalfield.support.startHttpServer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer

/**
 * Faults that the platform stand-in simulates, set with `POST /faults`.
 *
 * @property isDown whether every key-value call fails without effect.
 * @property loseAnswers number of next writes that take effect without an answer.
 * @property delayMilliseconds additional delay of each key-value answer.
 * @property isListFrozen whether the list of instances ignores changes.
 */
@Serializable
public data class PlatformFaults(
    val isDown: Boolean = false,
    val loseAnswers: Int = 0,
    val delayMilliseconds: Long = 0,
    val isListFrozen: Boolean = false,
)

/** Response of `GET /stats`. */
@Serializable
public data class PlatformStatistics(val keyValueCalls: Long)

/** A stand-in for the platform with its key-value service, list of instances and rating service. */
public class PlatformStandIn(host: String, port: Int, rate: (AnswerToRate) -> Boolean? = { true }) : AutoCloseable {
    private val gateway = KeyValueGateway()
    private val directory = InMemoryInstanceDirectory()
    private val ratings = InMemoryRatingService(rate)
    private val server: Javalin = startHttpServer(host, port) {
        gateway.addRoutes(this)
        addInstanceRoutes()
        addRatingRoutes()
        post("/faults") { it.applyFaults() }
        get("/stats") { it.answer(PlatformStatistics.serializer(), PlatformStatistics(gateway.callCount)) }
    }

    /** The port that the stand-in listens on. */
    public val port: Int get() = server.port()

    private fun RoutesConfig.addInstanceRoutes() {
        get("/v1/instances") { context ->
            context.answerEither(directory.instances(), ListSerializer(ListedInstance.serializer()))
        }
        put("/v1/instances/{id}") { context ->
            directory.announce(PlatformJson.decodeFromString(ListedInstance.serializer(), context.body()))
        }
        delete("/v1/instances/{id}") { context -> directory.remove(InstanceId(context.pathParam("id"))) }
    }

    private fun RoutesConfig.addRatingRoutes() {
        post("/v1/ratings") { context ->
            ratings.submit(PlatformJson.decodeFromString(AnswerToRate.serializer(), context.body()))
        }
        get("/v1/ratings") { context ->
            val after = context.queryParam("after")?.toLongOrNull() ?: 0
            context.answerEither(ratings.ratingsAfter(after), ListSerializer(Rating.serializer()))
        }
    }

    private fun Context.applyFaults() {
        val faults = PlatformJson.decodeFromString(PlatformFaults.serializer(), body())
        gateway.applyFaults(faults)
        directory.isFrozen = faults.isListFrozen
    }

    private fun <T> Context.answerEither(result: Either<*, T>, serializer: kotlinx.serialization.KSerializer<T>) {
        when (result) {
            is Either.Left -> status(SERVICE_UNAVAILABLE).result("${result.value}")
            is Either.Right -> answer(serializer, result.value)
        }
    }

    override fun close() {
        server.stop()
    }
}

internal const val SERVICE_UNAVAILABLE = 503
private const val DECLARED_BYTES = 1_000

internal fun <T> Context.answer(serializer: kotlinx.serialization.KSerializer<T>, value: T) {
    contentType("application/json").result(PlatformJson.encodeToString(serializer, value))
}

/** Ends the response before its declared length, so that the client cannot read it. */
internal fun Context.breakAnswer() {
    res().setContentLength(DECLARED_BYTES)
    res().outputStream.flush()
}
