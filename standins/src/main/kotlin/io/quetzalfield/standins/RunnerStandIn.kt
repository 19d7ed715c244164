package io.quetzalfield.standins

import io.javalin.Javalin
import io.javalin.http.Context
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.platform.PlatformJson
import io.quetzalfield.platform.engine.COMPLETION_ID_PREFIX
import io.quetzalfield.platform.engine.ChatChunkChoice
import io.quetzalfield.platform.engine.ChatCompletionChunk
import io.quetzalfield.platform.engine.ChatCompletionRequest
import io.quetzalfield.platform.engine.ChatDelta
import io.quetzalfield.platform.engine.EngineCacheEvent
import io.quetzalfield.platform.engine.EngineLoad
import io.quetzalfield.platform.engine.EngineOrder
import io.quetzalfield.platform.engine.EngineRefusal
import io.quetzalfield.platform.engine.EngineRefusalCode
import io.quetzalfield.platform.engine.REQUEST_ID_HEADER
import io.quetzalfield.platform.engine.STREAM_END
import io.quetzalfield.platform.engine.TokenUsage
import io.quetzalfield.platform.engine.prefixHash
import io.quetzalfield.support.EventStreamWriter
import io.quetzalfield.support.startHttpServer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import java.io.IOException
import java.util.UUID
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/**
 * Faults of a runner, set with `POST /faults`.
 *
 * @property isLeaving new requests are refused; running ones finish.
 * @property cutAfterTokens the stream ends without its end marker after this many tokens.
 * @property crossedId chunks carry the id of another attempt.
 * @property crashOnText a request whose text contains this ends the process, or the connection in embedded use.
 */
@Serializable
public data class RunnerFaults(
    val isLeaving: Boolean = false,
    val cutAfterTokens: Int? = null,
    val crossedId: Boolean = false,
    val crashOnText: String? = null,
)

/** One request as the runner saw it; `GET /seen` answers all of them. */
@Serializable
public data class SeenRequest(val attempt: String, val model: String, val tokens: Int)

/**
 * Stands in for a model engine: streams the words of a made-up answer.
 *
 * @param tokenDelayMilliseconds time between tokens.
 * @param refusesOldOrders whether orders with an old fencing number are refused.
 * @param crash what a request does that crashes the runner.
 */
public class RunnerStandIn(
    host: String,
    port: Int,
    versions: List<ModelVersionReference>,
    private val slots: Int = DEFAULT_SLOTS,
    private val tokenDelayMilliseconds: Long = 0,
    private val refusesOldOrders: Boolean = true,
    private val crash: () -> Unit = {},
) : AutoCloseable {
    private val running = AtomicInteger()
    private val seen = ConcurrentLinkedQueue<SeenRequest>()
    private val cache = PrefixCacheStandIn()
    private val start = UUID.randomUUID().toString()

    @Volatile
    private var faults = RunnerFaults()

    @Volatile
    private var order = EngineOrder(fencingNumber = 0, versions = versions)

    private val server: Javalin = startHttpServer(host, port) {
        post("/v1/chat/completions", ::complete)
        get("/v1/load") { it.answer(EngineLoad.serializer(), load()) }
        get("/v1/cache-events", ::answerCacheEvents)
        post("/v1/orders", ::takeOrder)
        post("/faults") { faults = PlatformJson.decodeFromString(RunnerFaults.serializer(), it.body()) }
        get("/seen") { it.answer(ListSerializer(SeenRequest.serializer()), seen.toList()) }
    }

    /** The port that it listens at. */
    public val port: Int get() = server.port()

    /** The requests that it ran or started to run. */
    public fun seenRequests(): List<SeenRequest> = seen.toList()

    /** Sets the faults from now on. */
    public fun setFaults(newFaults: RunnerFaults) {
        faults = newFaults
    }

    private fun load(): EngineLoad {
        val busy = running.get()
        return EngineLoad(
            running = busy.coerceAtMost(slots),
            waiting = (busy - slots).coerceAtLeast(0),
            slots = slots,
            versions = order.versions,
            isLeaving = faults.isLeaving,
            canResume = true,
            start = start,
        )
    }

    private fun answerCacheEvents(context: Context) {
        val after = context.queryParam("after")?.toLongOrNull() ?: 0
        context.answer(ListSerializer(EngineCacheEvent.serializer()), cache.eventsAfter(after))
    }

    private fun takeOrder(context: Context) {
        val newOrder = PlatformJson.decodeFromString(EngineOrder.serializer(), context.body())
        if (refusesOldOrders && newOrder.fencingNumber < order.fencingNumber) {
            context.refuse(EngineRefusalCode.OLD_FENCING_NUMBER, "an order with ${order.fencingNumber} was taken")
        } else {
            order = newOrder
        }
    }

    private fun complete(context: Context) {
        val request = PlatformJson.decodeFromString(ChatCompletionRequest.serializer(), context.body())
        val version = ModelVersionReference.parse(request.model)
        when {
            faults.isLeaving -> context.refuse(EngineRefusalCode.LEAVING, "the runner is leaving")

            version !in order.versions ->
                context.refuse(EngineRefusalCode.VERSION_NOT_LOADED, "${request.model} is not loaded")

            else -> run(context, request)
        }
    }

    private fun run(context: Context, request: ChatCompletionRequest) {
        running.incrementAndGet()
        try {
            val attempt = context.header(REQUEST_ID_HEADER) ?: "none"
            val words = answerWords(request)
            seen += SeenRequest(attempt, request.model, words.size)
            if (shouldCrash(request)) crash()
            cache.use(request.prefixHash)
            stream(context, request, attempt, words)
        } catch (_: IOException) {
            // The caller has gone: the request is cancelled.
        } finally {
            running.decrementAndGet()
        }
    }

    private fun shouldCrash(request: ChatCompletionRequest): Boolean =
        faults.crashOnText?.let { text -> request.messages.any { text in it.content } } ?: false

    private fun stream(context: Context, request: ChatCompletionRequest, attempt: String, words: List<String>) {
        val events = EventStreamWriter(context)
        val id = COMPLETION_ID_PREFIX + if (faults.crossedId) "another-attempt" else attempt
        for (offset in (request.resumeOffset ?: 0) until words.size) {
            if (offset == faults.cutAfterTokens || shouldCrash(request)) return
            if (tokenDelayMilliseconds > 0) Thread.sleep(tokenDelayMilliseconds)
            events.send(tokenChunk(id, request.model, words[offset], offset))
        }
        val finish = ChatChunkChoice(finishReason = "stop")
        events.send(ChatCompletionChunk(id, model = request.model, choices = listOf(finish)))
        val promptTokens = request.messages.sumOf { it.content.split(' ').size }
        val usage = TokenUsage(promptTokens, words.size, promptTokens + words.size)
        events.send(ChatCompletionChunk(id, model = request.model, usage = usage))
        events.send(STREAM_END)
    }

    private fun tokenChunk(id: String, model: String, word: String, offset: Int): ChatCompletionChunk =
        ChatCompletionChunk(
            id = id,
            model = model,
            choices = listOf(ChatChunkChoice(delta = ChatDelta(content = word))),
            tokenOffset = offset,
        )

    override fun close() {
        server.stop()
    }

    private companion object {
        const val DEFAULT_SLOTS = 8
    }
}

private const val DEFAULT_ANSWER_TOKENS = 24
private const val REFUSED_STATUS = 503

/** The words that the stand-in answers [request] with; the same request always gets the same words. */
public fun answerWords(request: ChatCompletionRequest): List<String> {
    val question = request.messages.lastOrNull()?.content.orEmpty().split(' ').filter(String::isNotBlank)
    val count = request.maximumTokens ?: DEFAULT_ANSWER_TOKENS
    return List(count) { index -> "${question.getOrElse(index % question.size.coerceAtLeast(1)) { "word" }}-$index " }
}

private fun EventStreamWriter.send(chunk: ChatCompletionChunk) {
    send(PlatformJson.encodeToString(ChatCompletionChunk.serializer(), chunk))
}

private fun Context.refuse(code: EngineRefusalCode, message: String) {
    status(REFUSED_STATUS)
    answer(EngineRefusal.serializer(), EngineRefusal(code, message))
}
