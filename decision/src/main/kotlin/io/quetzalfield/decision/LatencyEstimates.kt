package io.quetzalfield.decision

import io.quetzalfield.model.ModelVersionReference
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Generation times of a version.
 *
 * @property firstToken time to the first token, including waiting.
 * @property perToken time from one token to the next.
 */
public data class VersionLatency(val firstToken: Duration, val perToken: Duration) {
    /** The time until [tokens] tokens have been generated. */
    public fun timeUntil(tokens: Int): Duration = firstToken + perToken * tokens
}

/** Provides latency estimates by version. */
public fun interface LatencyEstimates {
    public fun estimate(version: ModelVersionReference): VersionLatency
}

/** Moving averages of observed latencies. Thread-safe: an update replaces an immutable value. */
public class LearnedLatencyEstimates(
    private val initial: VersionLatency = VersionLatency(firstToken = 300.milliseconds, perToken = 20.milliseconds),
    private val smoothing: Double = 0.02,
) : LatencyEstimates {
    private val averages = ConcurrentHashMap<ModelVersionReference, VersionLatency>()

    override fun estimate(version: ModelVersionReference): VersionLatency = averages[version] ?: initial

    /** Adds the latency [observed] for one answer to the average of [version]. */
    public fun record(version: ModelVersionReference, observed: VersionLatency) {
        averages.merge(version, observed) { average, latest ->
            VersionLatency(
                firstToken = average.firstToken + (latest.firstToken - average.firstToken) * smoothing,
                perToken = average.perToken + (latest.perToken - average.perToken) * smoothing,
            )
        }
    }
}
