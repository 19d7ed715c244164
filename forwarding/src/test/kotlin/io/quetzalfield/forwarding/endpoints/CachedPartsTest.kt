package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.ModelId
import kotlin.test.Test
import kotlin.test.assertEquals

private val Small = ModelId("small")

class CachedPartsTest {
    private fun prompt(vararg ids: String) = ids.map { PromptPart(it, tokens = 100) }

    @Test
    fun `a part counts as cached only if all parts before it do`() {
        val parts = CachedParts()
        parts.add(Small, prompt("a", "b", "c"))
        assertEquals(0, parts.unreadTokens(Small, prompt("a", "b")))
        assertEquals(200, parts.unreadTokens(Small, prompt("x", "b")))
        assertEquals(100, parts.unreadTokens(Small, prompt("a", "x")))
    }

    @Test
    fun `parts are cached for each model separately`() {
        val parts = CachedParts()
        parts.add(Small, prompt("a"))
        assertEquals(100, parts.unreadTokens(ModelId("large"), prompt("a")))
    }

    @Test
    fun `the least recently used part is evicted`() {
        val parts = CachedParts(capacityTokens = 200)
        parts.add(Small, prompt("a"))
        parts.add(Small, prompt("b"))
        parts.add(Small, prompt("a"))
        parts.add(Small, prompt("c"))
        assertEquals(0, parts.unreadTokens(Small, prompt("a")))
        assertEquals(100, parts.unreadTokens(Small, prompt("b")))
    }
}
