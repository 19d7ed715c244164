package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.ModelId

/** A part of a prompt that several requests may share. */
public data class PromptPart(val id: String, val tokens: Int)

/**
 * The prompt parts in an endpoint's memory, as far as the requests of this instance show. The least recently used parts
 * are evicted when the parts exceed [capacityTokens].
 */
public class CachedParts(public var capacityTokens: Long = Long.MAX_VALUE) {
    private data class Key(val model: ModelId, val part: String)

    private val parts = LinkedHashMap<Key, Int>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var cachedTokens = 0L

    /** Tokens of [prompt] that [model] has to read: a part counts as cached only if all parts before it are. */
    public fun unreadTokens(model: ModelId, prompt: List<PromptPart>): Int {
        val cached = prompt.takeWhile { parts.containsKey(Key(model, it.id)) }.sumOf(PromptPart::tokens)
        return prompt.sumOf(PromptPart::tokens) - cached
    }

    /** Records that [model] has read [prompt]. */
    public fun add(model: ModelId, prompt: List<PromptPart>) {
        for (part in prompt) {
            val replaced = parts.put(Key(model, part.id), part.tokens) ?: 0
            cachedTokens += part.tokens - replaced
        }
        val eldest = parts.entries.iterator()
        while (cachedTokens > capacityTokens && eldest.hasNext()) {
            cachedTokens -= eldest.next().value
            eldest.remove()
        }
    }

    /** Removes all parts, as the endpoint has restarted. */
    public fun clear() {
        parts.clear()
        cachedTokens = 0
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
