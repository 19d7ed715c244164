package io.quetzalfield.entry

import io.quetzalfield.model.ModelVersionReference
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** How long answers take, by model version: a moving average of the time for one token. */
internal class AnswerTimes {
    private val perToken = ConcurrentHashMap<ModelVersionReference, Duration>()

    /** Notes an answer of [tokens] tokens that took [duration]. */
    fun note(version: ModelVersionReference, tokens: Int, duration: Duration) {
        if (tokens <= 0) return
        val latest = duration / tokens
        perToken.merge(version, latest) { average, _ -> average + (latest - average) * SMOOTHING }
    }

    /** The expected time of an answer of [tokens] tokens; zero while nothing is known. */
    fun expected(version: ModelVersionReference, tokens: Int): Duration = (perToken[version] ?: Duration.ZERO) * tokens

    private companion object {
        const val SMOOTHING = 0.05
    }
}
