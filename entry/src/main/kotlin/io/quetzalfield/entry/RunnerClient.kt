package io.quetzalfield.entry

import io.quetzalfield.decision.RunnerView
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.InterruptionReason
import io.quetzalfield.model.MayHaveRun
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.EngineLoad
import io.quetzalfield.store.engine.EngineRefusal
import io.quetzalfield.store.engine.EngineRefusalCode
import io.quetzalfield.store.engine.REQUEST_ID_HEADER
import io.quetzalfield.store.engine.TokenUsage
import kotlinx.serialization.SerializationException
import okhttp3.ConnectionPool
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okhttp3.sse.EventSources
import java.io.IOException
import java.io.InterruptedIOException
import java.net.ConnectException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** The outcome of an attempt at a runner. */
public sealed interface AttemptResult {
    /** The whole answer arrived. */
    public data class Complete(val usage: TokenUsage, val finishReason: String) : AttemptResult

    /**
     * The answer is missing or incomplete.
     *
     * @property isLeaving whether the runner refused because it is leaving.
     * @property isUnreachable whether the runner refused the connection.
     * @property isCut whether the connection was lost while the runner was processing the attempt.
     */
    public data class Failed(
        val failure: RequestFailure,
        val isLeaving: Boolean = false,
        val isUnreachable: Boolean = false,
        val isCut: Boolean = false,
    ) : AttemptResult
}

/** Sends attempts to runners and checks that each answer is complete and belongs to its attempt. */
public class RunnerClient(client: OkHttpClient) {
    private val client = client.newBuilder().retryOnConnectionFailure(false).build()
    private val prober = this.client.newBuilder()
        .callTimeout(PROBE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
        .build()

    /**
     * Sends [request] to [runner] and reports each token of the answer, in order, to [onToken].
     *
     * @param timeout time for the whole answer.
     * @throws AttemptAbortedException if [onToken] throws it; the attempt is then cancelled at the runner.
     */
    public fun stream(
        runner: RunnerView,
        attempt: AttemptId,
        request: ChatCompletionRequest,
        timeout: Duration,
        onToken: (AnswerToken) -> Unit,
    ): AttemptResult {
        val body = PlatformJson.encodeToString(ChatCompletionRequest.serializer(), request)
        val httpRequest = Request.Builder()
            .url("${runner.address}/v1/chat/completions")
            .header(REQUEST_ID_HEADER, attempt.value)
            .post(body.toRequestBody(JSON_MEDIA_TYPE))
            .build()
        val call = client.newCall(httpRequest)
        call.timeout().timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return try {
            call.execute().use { response -> read(response, attempt, request, onToken) }
        } catch (error: ConnectException) {
            val failure = NotRun(RefusalReason.NO_RUNNER, "runner ${runner.id} cannot be reached: ${error.message}")
            AttemptResult.Failed(failure, isUnreachable = true)
        } catch (error: IOException) {
            interrupted(runner, timeout, error)
        }
    }

    /**
     * Returns whether the process at [runner] has ended or was restarted since [start]. A probe that loses its
     * connection is repeated, as the process may be about to end.
     */
    public fun hasCrashed(runner: RunnerView, start: String?): Boolean {
        repeat(MAXIMUM_PROBES) {
            probe(runner, start)?.let { return it }
            TimeUnit.MILLISECONDS.sleep(PROBE_PAUSE_MILLISECONDS)
        }
        return false
    }

    /** Returns whether the runner has crashed; `null` if the connection was lost. */
    private fun probe(runner: RunnerView, start: String?): Boolean? = try {
        prober.newCall(Request.Builder().url("${runner.address}/v1/load").build()).execute().use { response ->
            val report = PlatformJson.decodeFromString(EngineLoad.serializer(), response.body.string())
            start != null && report.start != start
        }
    } catch (_: ConnectException) {
        true
    } catch (_: InterruptedIOException) {
        false
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

    private fun interrupted(runner: RunnerView, timeout: Duration, error: IOException): AttemptResult {
        val isLate = error is InterruptedIOException
        val reason = if (isLate) InterruptionReason.DEADLINE_PASSED else InterruptionReason.CONNECTION_LOST
        val message = if (isLate) "no whole answer within $timeout" else "runner ${runner.id}: ${error.message}"
        return AttemptResult.Failed(MayHaveRun(reason, message), isCut = !isLate)
    }

    private fun read(
        response: Response,
        attempt: AttemptId,
        request: ChatCompletionRequest,
        onToken: (AnswerToken) -> Unit,
    ): AttemptResult {
        if (!response.isSuccessful) return refused(response)
        val assembler = AnswerAssembler(attempt, request.resumeOffset ?: 0, onToken)
        EventSources.processResponse(response, assembler)
        return assembler.result()
    }

    private fun refused(response: Response): AttemptResult {
        val text = response.body.string()
        val refusal = try {
            PlatformJson.decodeFromString(EngineRefusal.serializer(), text)
        } catch (_: SerializationException) {
            return mayHaveRun(InterruptionReason.CONNECTION_LOST, "the runner answered ${response.code}")
        }
        val failure = NotRun(RefusalReason.RUNNER_REFUSED, "${refusal.code.name.lowercase()}: ${refusal.message}")
        return AttemptResult.Failed(failure, isLeaving = refusal.code == EngineRefusalCode.LEAVING)
    }

    private fun mayHaveRun(reason: InterruptionReason, message: String): AttemptResult =
        AttemptResult.Failed(MayHaveRun(reason, message))

    private companion object {
        const val MAXIMUM_PROBES = 4
        const val PROBE_PAUSE_MILLISECONDS = 50L
        const val PROBE_TIMEOUT_MILLISECONDS = 500L
        val JSON_MEDIA_TYPE = "application/json".toMediaType()
    }
}
