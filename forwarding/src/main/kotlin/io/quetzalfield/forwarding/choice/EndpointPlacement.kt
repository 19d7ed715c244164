package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.stableHash
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.PromptPart
import io.quetzalfield.model.ModelId
import kotlin.random.Random
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What has to be placed: a prompt for a model engine, or a call of a plain service, which has neither. */
public data class Work(val model: ModelId? = null, val prompt: List<PromptPart> = emptyList())

/**
 * Where an attempt goes.
 *
 * @property tokensToRead prompt tokens that the endpoint is expected to read before the answer starts.
 */
public data class Placement(val endpoint: Endpoint, val tokensToRead: Int)

/** Chooses the endpoint for one attempt. */
public interface EndpointPlacement {
    /** One of [candidates]; `null` only when there are none. */
    public fun choose(work: Work, candidates: List<Endpoint>, now: ComparableTimeMark): Placement?
}

/**
 * Chooses the endpoint with the least work before the answer starts.
 *
 * Load pattern: many requests share long prompt parts, several instances decide apart, and reading a part on every
 * endpoint fills all memories with the same parts. Each shared part therefore has a home by rendezvous hashing, the
 * same at every instance, and is taken to be in its home's memory. A home that has more work waiting than the part
 * costs to read loses the request to another endpoint. The work counts what all instances have there, as far as they
 * have told one another.
 */
public class LeastWorkPlacement(private val random: Random = Random.Default) : EndpointPlacement {
    override fun choose(work: Work, candidates: List<Endpoint>, now: ComparableTimeMark): Placement? {
        val usable = candidates.filterNot { it.isAvoidedAt(now) }.ifEmpty { candidates }
        val home = homeOf(work, usable)
        val first = random.nextInt(maxOf(usable.size, 1))
        return usable.indices.map { usable[(it + first) % usable.size] }
            .map { endpoint -> Placement(endpoint, tokensToRead(work, endpoint, home)) }
            .minByOrNull { it.tokensToRead + waitingTokens(it.endpoint, now) }
    }

    private fun Endpoint.isAvoidedAt(now: ComparableTimeMark) = avoidedUntil.let { it != null && it > now }

    private fun homeOf(work: Work, usable: List<Endpoint>): Endpoint? {
        val shared = work.prompt.dropLast(1).lastOrNull() ?: return null
        val key = "${work.model?.value}/${shared.id}"
        return usable.maxByOrNull { stableHash("$key|${it.id.value}") }
    }

    private fun tokensToRead(work: Work, endpoint: Endpoint, home: Endpoint?): Int {
        val model = work.model ?: return 0
        val unread = endpoint.cachedParts.unreadTokens(model, work.prompt)
        return if (endpoint === home) minOf(unread, work.prompt.last().tokens) else unread
    }

    /** Tokens of work that [endpoint] has before it comes to a new request. */
    private fun waitingTokens(endpoint: Endpoint, now: ComparableTimeMark): Long {
        val cold = if (endpoint.description.coldFor > Duration.ZERO) COLD_TOKENS else 0
        return cold + endpoint.unreadTokensAt(now) + occupancyTokens(endpoint, now)
    }

    private fun occupancyTokens(endpoint: Endpoint, now: ComparableTimeMark): Long {
        val reported = endpoint.load.takeIf {
            endpoint.loadReportedAt.let { at -> at != null && now - at < LoadValidity }
        }
        val running = maxOf(endpoint.runningAt(now), reported?.running ?: 0)
        val waiting = (reported?.waiting ?: 0) + (running - endpoint.description.capacity).coerceAtLeast(0)
        return running * RUNNING_TOKENS + waiting * WAITING_TOKENS
    }

    private companion object {
        /** Prompt tokens that could be read in the time by which one running request slows the others. */
        const val RUNNING_TOKENS = 300L

        /** Prompt tokens that a waiting request stands for; about the mean prompt after its shared parts. */
        const val WAITING_TOKENS = 2_000L

        /** Handicap of an endpoint that is still slow after its start, in prompt tokens. */
        const val COLD_TOKENS = 4_000L

        /** Time for which a reported load says something: about one answer of the usual length. */
        val LoadValidity = 2_000.milliseconds
    }
}
