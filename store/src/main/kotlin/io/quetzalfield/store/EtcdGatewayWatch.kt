package io.quetzalfield.store

import okhttp3.Call
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okio.BufferedSource
import org.apache.logging.log4j.LogManager
import java.io.IOException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Keeps one streaming watch open; after an interruption it reconnects and first reports the current values. */
internal class EtcdGatewayWatch(
    private val address: String,
    private val client: OkHttpClient,
    private val store: KeyValueStore,
    private val prefix: String,
    private val onChange: (StoreChange) -> Unit,
) : StoreWatch {
    private val closed = CountDownLatch(1)

    @Volatile
    private var call: Call? = null

    fun start() {
        thread(name = "watch-$prefix", isDaemon = true, block = ::run)
    }

    override fun close() {
        closed.countDown()
        call?.cancel()
    }

    private fun run() {
        var isConnected = true
        while (closed.count > 0) {
            val wasAccepted = runCatching(::followOnce).getOrDefault(false)
            if (isConnected != wasAccepted) logger.info("watch of {} is {}", prefix, if (wasAccepted) "up" else "down")
            isConnected = wasAccepted
            closed.await(RECONNECT_DELAY.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        }
    }

    /** Reads one stream until it breaks; returns `true` if the store accepted the watch. */
    private fun followOnce(): Boolean {
        val create = GatewayWatchCreate(encodeBase64(prefix), encodeBase64(prefixEnd(prefix)))
        val body = PlatformJson.encodeToString(GatewayWatchRequest.serializer(), GatewayWatchRequest(create))
        val request = Request.Builder()
            .url("$address/v3/watch")
            .post(body.toRequestBody("application/json".toMediaType()))
            .build()
        val newCall = client.newCall(request)
        call = newCall
        return try {
            newCall.execute().use { response -> response.isSuccessful && follow(response.body.source()) }
        } catch (_: IOException) {
            false
        }
    }

    private fun follow(source: BufferedSource): Boolean {
        var isCreated = false
        while (closed.count > 0) {
            val line = readLine(source) ?: return isCreated
            if (line.isBlank()) continue
            val result = PlatformJson.decodeFromString(GatewayWatchResponse.serializer(), line).result
            if (result.created) {
                isCreated = true
                store.list(prefix).onRight { values -> values.forEach { onChange(StoreChange(it.key, it)) } }
            }
            result.events.forEach(::report)
        }
        return isCreated
    }

    private fun readLine(source: BufferedSource): String? = try {
        source.readUtf8Line()
    } catch (_: IOException) {
        null
    }

    private fun report(event: GatewayEvent) {
        val stored = event.kv.toStoredValue()
        val isDeletion = event.type == "DELETE"
        onChange(StoreChange(stored.key, if (isDeletion) null else stored))
    }

    private companion object {
        val RECONNECT_DELAY: Duration = 250.milliseconds
        val logger = LogManager.getLogger(EtcdGatewayWatch::class.java)
    }
}
