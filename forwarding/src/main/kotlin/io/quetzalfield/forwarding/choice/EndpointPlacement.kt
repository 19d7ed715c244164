package io.quetzalfield.forwarding.choice

import io.quetzalfield.decision.stableHash
import io.quetzalfield.forwarding.endpoints.Endpoint
import io.quetzalfield.forwarding.endpoints.PromptPart
import io.quetzalfield.model.ModelId
import kotlin.random.Random
import kotlin.time.ComparableTimeMark

/** Work to be placed: a prompt for a model engine, or a call of a plain service, which has neither model nor prompt. */
public data class Work(val model: ModelId? = null, val prompt: List<PromptPart> = emptyList())

/**
 * The endpoint chosen for an attempt.
 *
 * @property tokensToRead prompt tokens that the endpoint is expected to read before the answer starts.
 * @property expected when the answer is expected to start; `null` where that is not estimated.
 */
public data class Placement(val endpoint: Endpoint, val tokensToRead: Int, val expected: StartExpectation? = null)

/** Returns the endpoints that are not avoided at [now], or all if all are. */
internal fun List<Endpoint>.withoutAvoided(now: ComparableTimeMark): List<Endpoint> =
    filterNot { endpoint -> endpoint.avoidedUntil.let { it != null && it > now } }.ifEmpty { this }

/** Chooses the endpoint for one attempt. */
public interface EndpointPlacement {
    /** Returns one of [candidates], or `null` when there are none. */
    public fun choose(work: Work, candidates: List<Endpoint>, now: ComparableTimeMark): Placement?
}

/**
 * Chooses the endpoint that has the least work to do before the answer can start.
 *
 * Load pattern: many requests share long prompt parts, several instances decide independently, and if every endpoint
 * read a part, the same parts would fill the memories of all endpoints. Each shared part therefore has a home endpoint,
 * selected by rendezvous hashing and the same at every instance, and is assumed to be in the home's memory. A request
 * goes to another endpoint when its home has more work waiting than the part costs to read. The work of all instances
 * counts, as far as they have reported it to one another.
 *
 * @param readWeight cost of reading a prompt token in relation to waiting for one. Above 1 where capacity is scarce:
 * a token that is read again delays all later requests, while waiting at the home of a part delays only this one.
 */
public class LeastWorkPlacement(private val random: Random = Random.Default, private val readWeight: Int = 1) :
    EndpointPlacement {
    override fun choose(work: Work, candidates: List<Endpoint>, now: ComparableTimeMark): Placement? {
        val usable = candidates.withoutAvoided(now)
        val home = homeOf(work, usable)
        val offset = random.nextInt(maxOf(usable.size, 1))
        return usable.indices.map { usable[(it + offset) % usable.size] }
            .map { endpoint -> Placement(endpoint, tokensToRead(work, endpoint, home)) }
            .minByOrNull { it.tokensToRead.toLong() * readWeight + WaitingWork.tokensAt(it.endpoint, now) }
    }

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
}
