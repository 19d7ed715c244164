package io.quetzalfield.forwarding.crashes

import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import kotlinx.serialization.Serializable

/**
 * A request that an endpoint had yet to answer, or had just begun to answer, when its connection was lost.
 *
 * @property parts ids of the parts of its prompt that other requests may share, in order.
 * @property hasBegun whether the endpoint had sent the head of its response.
 */
@Serializable
public data class CrashCandidate(
    val request: RequestFingerprint,
    val parts: List<String> = emptyList(),
    val hasBegun: Boolean = false,
)

/**
 * The loss of one start of an endpoint, as one instance has seen it.
 *
 * @property endpoint the start that was lost.
 * @property isConfirmed whether the endpoint has broken off its other connections, too, and refuses new ones.
 * @property hasEnded whether its entry shows that it has ended.
 * @property isAlive whether it has answered a request or taken a connection since.
 */
@Serializable
internal data class LossReport(
    val endpoint: RunnerId,
    val ageMilliseconds: Long,
    val isConfirmed: Boolean = false,
    val candidates: List<CrashCandidate> = emptyList(),
    val hasEnded: Boolean = false,
    val isAlive: Boolean = false,
)

/** States that an endpoint answered a request with [part]; the age is that of the start of the answer. */
@Serializable
internal data class ProofReport(val part: String, val ageMilliseconds: Long)

/**
 * States that requests with [suspect] are refused or, if [isCleared], no longer refused because of [endpoints].
 *
 * @property endpoints the starts of endpoints that it made end.
 * @property ageMilliseconds time since the last of these ended.
 * @property wasAnswered whether requests with it were answered before.
 * @property trials requests with it that were sent since it is refused, to find out whether endpoints still end by it.
 * @property trialAgeMilliseconds time since the last trial; 0 if there was none.
 */
@Serializable
internal data class BlameReport(
    val suspect: CrashSuspect,
    val endpoints: List<RunnerId>,
    val ageMilliseconds: Long,
    val isCleared: Boolean = false,
    val wasAnswered: Boolean = false,
    val trials: Int = 0,
    val trialAgeMilliseconds: Long = 0,
)

/** What an instance tells the others about requests that make endpoints end. Ages are relative, as clocks differ. */
@Serializable
internal data class CrashNews(
    val losses: List<LossReport> = emptyList(),
    val proofs: List<ProofReport> = emptyList(),
    val blames: List<BlameReport> = emptyList(),
) {
    val isEmpty: Boolean get() = losses.isEmpty() && proofs.isEmpty() && blames.isEmpty()

    /** Splits the news into parts that each fit a datagram which links carry unfragmented. */
    fun split(): List<CrashNews> = losses.flatMap(::split).map { CrashNews(losses = listOf(it)) } +
        proofs.chunked(PROOFS_PER_MESSAGE).map { CrashNews(proofs = it) } +
        blames.chunked(BLAMES_PER_MESSAGE).map { CrashNews(blames = it) }

    private fun split(report: LossReport): List<LossReport> {
        if (report.candidates.isEmpty()) return listOf(report)
        return report.candidates.chunked(CANDIDATES_PER_MESSAGE).map { report.copy(candidates = it) }
    }

    private companion object {
        /** Candidates in a message, about 100 bytes each with the usual number of parts. */
        const val CANDIDATES_PER_MESSAGE = 10

        /** Proofs in a message, about 20 bytes each. */
        const val PROOFS_PER_MESSAGE = 40

        /** Reports in a message, about 300 bytes each. */
        const val BLAMES_PER_MESSAGE = 4
    }
}
