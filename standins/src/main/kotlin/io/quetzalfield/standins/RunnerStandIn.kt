package io.quetzalfield.standins

import io.javalin.Javalin
import io.javalin.http.Context
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.COMPLETION_ID_PREFIX
import io.quetzalfield.store.engine.ChatChunkChoice
import io.quetzalfield.store.engine.ChatCompletionChunk
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.ChatDelta
import io.quetzalfield.store.engine.ChoiceLogProbabilities
import io.quetzalfield.store.engine.EngineCacheEvent
import io.quetzalfield.store.engine.EngineLoad
import io.quetzalfield.store.engine.EngineOrder
import io.quetzalfield.store.engine.EngineRefusal
import io.quetzalfield.store.engine.EngineRefusalCode
import io.quetzalfield.store.engine.REQUEST_ID_HEADER
import io.quetzalfield.store.engine.STREAM_END
import io.quetzalfield.store.engine.TokenLogProbability
import io.quetzalfield.store.engine.TokenUsage
import io.quetzalfield.store.engine.prefixHash
import io.quetzalfield.support.EventStreamWriter
import io.quetzalfield.support.startHttpServer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import java.io.IOException
import java.util.UUID
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Clock

/**
 * Faults that a runner stand-in simulates, set with `POST /faults`.
 *
 * @property isLeaving whether new requests are refused; running ones finish.
 * @property cutAfterTokens number of tokens after which the stream ends without its end marker.
 * @property skippedToken index of a token that is not sent, from 0.
 * @property holdMilliseconds additional delay of the first token.
 * @property crossedId whether chunks carry the id of another attempt.
 * @property refusedVersion a version whose requests are refused as if it were not loaded.
 * @property logProbability log probability reported for each token if the request asks for it.
 * @property crashOnText a request that contains this text ends the process or, in embedded use, the connection.
 */
@Serializable
public data class RunnerFaults(
    val isLeaving: Boolean = false,
    val cutAfterTokens: Int? = null,
    val skippedToken: Int? = null,
    val holdMilliseconds: Long = 0,
    val crossedId: Boolean = false,
    val crashOnText: String? = null,
    val logProbability: Double = USUAL_LOG_PROBABILITY,
    val refusedVersion: String? = null,
)

/**
 * A request that the runner received; `GET /seen` returns all of them.
 *
 * @property prompt the last message of the conversation.
 * @property startedAtEpochMilliseconds wall-clock time at which it started to run.
 */
@Serializable
public data class ReceivedRequest(
    val attempt: String,
    val model: String,
    val tokens: Int,
    val prompt: String = "",
    val startedAtEpochMilliseconds: Long = 0,
)

/**
 * A stand-in for a model engine that streams the words of a generated answer.
 *
 * @param tokenDelayMilliseconds delay before each token.
 * @param refusesOldOrders whether orders with an old fencing number are refused.
 * @param onRun called with each request when it starts to run.
 * @param crash called by a request that crashes the runner.
 */
public class RunnerStandIn(
    host: String,
    port: Int,
    versions: List<ModelVersionReference>,
    private val slots: Int = DEFAULT_SLOTS,
    private val tokenDelayMilliseconds: Long = 0,
    private val refusesOldOrders: Boolean = true,
    private val clock: Clock = Clock.System,
    private val onRun: (ReceivedRequest) -> Unit = {},
    private val crash: () -> Unit = {},
) : AutoCloseable {
    private val running = AtomicInteger()
    private val seen = ConcurrentLinkedQueue<ReceivedRequest>()
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
        post("/v1/orders", ::handleOrder)
        post("/faults") { faults = PlatformJson.decodeFromString(RunnerFaults.serializer(), it.body()) }
        get("/seen") { it.answer(ListSerializer(ReceivedRequest.serializer()), seen.toList()) }
    }

    /** The port that the stand-in listens on. */
    public val port: Int get() = server.port()

    /** The requests that have started to run, in order. */
    public fun receivedRequests(): List<ReceivedRequest> = seen.toList()

    /** Replaces the simulated faults. */
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

    private fun handleOrder(context: Context) {
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

            version !in order.versions || request.model == faults.refusedVersion ->
                context.refuse(EngineRefusalCode.VERSION_NOT_LOADED, "${request.model} is not loaded")

            else -> run(context, request)
        }
    }

    private fun run(context: Context, request: ChatCompletionRequest) {
        running.incrementAndGet()
        try {
            val attempt = context.header(REQUEST_ID_HEADER) ?: "none"
            val words = answerWords(request)
            val started = ReceivedRequest(
                attempt = attempt,
                model = request.model,
                tokens = words.size,
                prompt = request.messages.lastOrNull()?.content.orEmpty(),
                startedAtEpochMilliseconds = clock.now().toEpochMilliseconds(),
            )
            seen += started
            onRun(started)
            if (shouldCrash(request)) crash()
            cache.use(request.prefixHash)
            stream(context, request, attempt, words)
        } catch (_: IOException) {
            // The caller has disconnected: the request is cancelled.
        } finally {
            running.decrementAndGet()
        }
    }

    private fun shouldCrash(request: ChatCompletionRequest): Boolean =
        faults.crashOnText?.let { text -> request.messages.any { text in it.content } } ?: false

    private fun stream(context: Context, request: ChatCompletionRequest, attempt: String, words: List<String>) {
        val events = EventStreamWriter(context)
        val id = COMPLETION_ID_PREFIX + if (faults.crossedId) "another-attempt" else attempt
        Thread.sleep(faults.holdMilliseconds)
        for (offset in (request.resumeOffset ?: 0) until words.size) {
            if (offset == faults.cutAfterTokens || shouldCrash(request)) return
            if (tokenDelayMilliseconds > 0) Thread.sleep(tokenDelayMilliseconds)
            if (offset != faults.skippedToken) events.send(tokenChunk(id, request, words[offset], offset))
        }
        if (faults.cutAfterTokens == words.size) return
        val finish = ChatChunkChoice(finishReason = "stop")
        events.send(ChatCompletionChunk(id, model = request.model, choices = listOf(finish)))
        val promptTokens = request.messages.sumOf { it.content.split(' ').size }
        val usage = TokenUsage(promptTokens, words.size, promptTokens + words.size)
        events.send(ChatCompletionChunk(id, model = request.model, usage = usage))
        events.send(STREAM_END)
    }

    private fun tokenChunk(id: String, request: ChatCompletionRequest, word: String, offset: Int): ChatCompletionChunk {
        val logProbabilities = ChoiceLogProbabilities(listOf(TokenLogProbability(word, faults.logProbability)))
        val choice = ChatChunkChoice(
            delta = ChatDelta(content = word),
            logProbabilities = logProbabilities.takeIf { request.logProbabilities == true },
        )
        return ChatCompletionChunk(id, model = request.model, choices = listOf(choice), tokenOffset = offset)
    }

    override fun close() {
        server.stop()
    }

    private companion object {
        const val DEFAULT_SLOTS = 8
    }
}

private const val USUAL_LOG_PROBABILITY = -0.1
private const val DEFAULT_ANSWER_TOKENS = 24
private const val REFUSED_STATUS = 503

/** The words with which the stand-in answers [request]; the same request always gets the same words. */
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
