package io.quetzalfield.entry

import io.quetzalfield.model.ModelVersionReference
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** Estimates the duration of answers by model version, from a moving average of the time per token. */
internal class AnswerTimes {
    private val perToken = ConcurrentHashMap<ModelVersionReference, Duration>()

    /** Records an answer of [tokens] tokens that took [duration]. */
    fun note(version: ModelVersionReference, tokens: Int, duration: Duration) {
        if (tokens <= 0) return
        val latest = duration / tokens
        perToken.merge(version, latest) { average, _ -> average + (latest - average) * SMOOTHING }
    }

    /** Returns the expected duration of an answer of [tokens] tokens; zero before the first answer of [version]. */
    fun expected(version: ModelVersionReference, tokens: Int): Duration = (perToken[version] ?: Duration.ZERO) * tokens

    private companion object {
        const val SMOOTHING = 0.05
    }
}
