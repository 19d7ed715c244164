package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.EngineCacheEvent
import io.quetzalfield.store.engine.EngineLoad
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import okhttp3.Call
import okhttp3.Callback
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.TimeUnit

/** Reads reports from runners asynchronously. */
internal class RunnerPoller(client: OkHttpClient) {
    private val client = client.newBuilder().callTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).build()

    /** Reads the load of the runner at [address]. On failure, `Left` states whether the connection was refused. */
    fun fetchLoad(address: String, onAnswer: (Either<Boolean, EngineLoad>) -> Unit) {
        fetch("$address/v1/load", EngineLoad.serializer(), onAnswer)
    }

    /** Reads the cache events after [sequence] of the runner at [address]. On failure, `Left` is as in [fetchLoad]. */
    fun fetchCacheEvents(
        address: String,
        sequence: Long,
        onAnswer: (Either<Boolean, List<EngineCacheEvent>>) -> Unit,
    ) {
        val serializer = ListSerializer(EngineCacheEvent.serializer())
        fetch("$address/v1/cache-events?after=$sequence", serializer, onAnswer)
    }

    private fun <T> fetch(url: String, serializer: KSerializer<T>, onAnswer: (Either<Boolean, T>) -> Unit) {
        val callback = object : Callback {
            override fun onFailure(call: Call, e: IOException) {
                onAnswer((e is ConnectException).left())
            }

            override fun onResponse(call: Call, response: Response) {
                onAnswer(response.use { read(it, serializer) })
            }
        }
        client.newCall(Request.Builder().url(url).build()).enqueue(callback)
    }

    private fun <T> read(response: Response, serializer: KSerializer<T>): Either<Boolean, T> = try {
        val text = response.body.string()
        if (response.isSuccessful) PlatformJson.decodeFromString(serializer, text).right() else false.left()
    } catch (_: IOException) {
        false.left()
    } catch (_: SerializationException) {
        false.left()
    }

    private companion object {
        const val TIMEOUT_SECONDS = 1L
    }
}
