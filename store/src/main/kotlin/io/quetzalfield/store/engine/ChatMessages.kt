package io.quetzalfield.store.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/*
 * Messages of the OpenAI chat completions interface, as far as this project uses it. Callers use it with the entry,
 * and the entry uses it with model engines.
 */

/** One message of a conversation. */
@Serializable
public data class ChatMessage(val role: String, val content: String)

@Serializable
public data class StreamOptions(@SerialName("include_usage") val includeUsage: Boolean = false)

/**
 * A request for a completion.
 *
 * @property resumeOffset number of answer tokens that the sender already has; an extension supported only by engines
 * that can resume a stream.
 */
@Serializable
public data class ChatCompletionRequest(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maximumTokens: Int? = null,
    @SerialName("stream_options") val streamOptions: StreamOptions? = null,
    @SerialName("resume_offset") val resumeOffset: Int? = null,
    @SerialName("logprobs") val logProbabilities: Boolean? = null,
    val priority: Int? = null,
)

@Serializable
public data class ChatDelta(val role: String? = null, val content: String? = null)

/** The natural logarithm of the probability that the engine assigned to a token. */
@Serializable
public data class TokenLogProbability(val token: String, @SerialName("logprob") val logProbability: Double)

@Serializable
public data class ChoiceLogProbabilities(val content: List<TokenLogProbability> = emptyList())

@Serializable
public data class ChatChunkChoice(
    val index: Int = 0,
    val delta: ChatDelta = ChatDelta(),
    @SerialName("finish_reason") val finishReason: String? = null,
    @SerialName("logprobs") val logProbabilities: ChoiceLogProbabilities? = null,
)

@Serializable
public data class TokenUsage(
    @SerialName("prompt_tokens") val promptTokens: Int = 0,
    @SerialName("completion_tokens") val completionTokens: Int = 0,
    @SerialName("total_tokens") val totalTokens: Int = 0,
)

/**
 * One event of a streamed answer.
 *
 * @property tokenOffset index of the chunk's token in the answer, from 0; an extension.
 */
@Serializable
public data class ChatCompletionChunk(
    val id: String,
    val `object`: String = "chat.completion.chunk",
    val model: String = "",
    val choices: List<ChatChunkChoice> = emptyList(),
    val usage: TokenUsage? = null,
    @SerialName("token_offset") val tokenOffset: Int? = null,
)

@Serializable
public data class ChatChoice(
    val index: Int = 0,
    val message: ChatMessage,
    @SerialName("finish_reason") val finishReason: String,
)

/** A complete answer. */
@Serializable
public data class ChatCompletion(
    val id: String,
    val `object`: String = "chat.completion",
    val model: String,
    val choices: List<ChatChoice>,
    val usage: TokenUsage,
)

/** The data of the event that ends a stream. */
public const val STREAM_END: String = "[DONE]"

/** The header that carries the attempt's id to the engine, which echoes it in the id of each chunk. */
public const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** The prefix that engines add to the echoed attempt id. */
public const val COMPLETION_ID_PREFIX: String = "chatcmpl-"
