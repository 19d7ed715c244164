package io.quetzalfield.support

import kotlin.test.Test
import kotlin.test.assertEquals

class GuardedTaskTest {
    private fun changes(vararg failures: String?): List<String?> = buildList {
        val remaining = failures.toMutableList()
        val task = GuardedTask({ remaining.removeFirst()?.let(::error) }, { add(it?.message) })
        repeat(failures.size) { task.run() }
    }

    @Test
    fun `only changes between success and failure are reported`() {
        assertEquals(emptyList(), changes(null, null))
        assertEquals(listOf<String?>("a"), changes(null, "a", "b", "c"))
        assertEquals(listOf("a", null, "b"), changes("a", "a", null, null, "b"))
    }
}
