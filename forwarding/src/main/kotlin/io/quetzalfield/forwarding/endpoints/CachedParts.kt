package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.ModelId

/** A part of a prompt that requests may share. */
public data class PromptPart(val id: String, val tokens: Int)

/**
 * The prompt parts in an endpoint's memory, as far as own requests tell. The least recently used yield when more than
 * [capacityTokens] are held.
 */
public class CachedParts(public var capacityTokens: Long = Long.MAX_VALUE) {
    private data class Key(val model: ModelId, val part: String)

    private val parts = LinkedHashMap<Key, Int>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var heldTokens = 0L

    /** Tokens of [prompt] that [model] has to read: a part counts as held only if all parts before it are. */
    public fun unreadTokens(model: ModelId, prompt: List<PromptPart>): Int {
        val held = prompt.takeWhile { parts.containsKey(Key(model, it.id)) }.sumOf(PromptPart::tokens)
        return prompt.sumOf(PromptPart::tokens) - held
    }

    /** Notes that [model] has read [prompt]. */
    public fun add(model: ModelId, prompt: List<PromptPart>) {
        for (part in prompt) {
            val replaced = parts.put(Key(model, part.id), part.tokens) ?: 0
            heldTokens += part.tokens - replaced
        }
        val eldest = parts.entries.iterator()
        while (heldTokens > capacityTokens && eldest.hasNext()) {
            heldTokens -= eldest.next().value
            eldest.remove()
        }
    }

    /** Forgets everything: the endpoint has started anew. */
    public fun clear() {
        parts.clear()
        heldTokens = 0
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
