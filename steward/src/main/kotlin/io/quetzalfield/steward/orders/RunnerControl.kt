package io.quetzalfield.steward.orders

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.EngineLoad
import io.quetzalfield.store.engine.EngineOrder
import kotlinx.serialization.SerializationException
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Why a call to a runner failed. An order may still have taken effect. */
public data class RunnerError(val message: String)

/** The calls that a steward makes to runners. */
public interface RunnerControl {
    /** The load that [runner] reports, including its loaded versions. */
    public fun load(runner: ListedInstance): Either<RunnerError, EngineLoad>

    /** Sends [order] to [runner]. */
    public fun order(runner: ListedInstance, order: EngineOrder): Either<RunnerError, Unit>
}

/** Calls runners over HTTP; no call is repeated or lasts longer than [timeout]. */
public class HttpRunnerControl(timeout: Duration = 2.seconds) : RunnerControl {
    private val client = OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .callTimeout(timeout.toJavaDuration())
        .build()

    override fun load(runner: ListedInstance): Either<RunnerError, EngineLoad> =
        call(Request.Builder().url("${runner.address}/v1/load").build()).flatMap { text ->
            try {
                PlatformJson.decodeFromString(EngineLoad.serializer(), text).right()
            } catch (error: SerializationException) {
                RunnerError("malformed load report: ${error.message}").left()
            }
        }

    override fun order(runner: ListedInstance, order: EngineOrder): Either<RunnerError, Unit> {
        val body = PlatformJson.encodeToString(EngineOrder.serializer(), order)
        val request = Request.Builder()
            .url("${runner.address}/v1/orders")
            .post(body.toRequestBody("application/json".toMediaType()))
            .build()
        return call(request).map { }
    }

    private fun call(request: Request): Either<RunnerError, String> = try {
        client.newCall(request).execute().use { response ->
            val text = response.body.string()
            if (response.isSuccessful) text.right() else RunnerError("${request.url}: ${response.code} $text").left()
        }
    } catch (error: IOException) {
        RunnerError("${request.url}: ${error.message}").left()
    }
}
