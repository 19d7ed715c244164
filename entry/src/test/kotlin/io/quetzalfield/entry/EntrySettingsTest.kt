package io.quetzalfield.entry

import io.quetzalfield.support.SettingsError
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Files
import kotlin.test.Test
import kotlin.test.assertEquals

class EntrySettingsTest {
    private val file = Files.createTempFile("entry", ".yaml")
    private val valid = """
        instance: entry-1
        failureDomain: domain-1
        callerAddress: 127.0.0.1:0
        peerAddress: 127.0.0.1:0
        platformAddress: http://127.0.0.1:2379
    """.trimIndent()

    @AfterEach
    fun deleteFile() {
        Files.delete(file)
    }

    private fun errors(text: String): List<String> {
        Files.writeString(file, text)
        val errors = loadEntrySettings(file).fold({ it }, { emptyList() })
        return errors.map { error: SettingsError -> error.copy(file = "f").toString() }
    }

    @Test
    fun `the required settings suffice`() {
        assertEquals(emptyList(), errors(valid))
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '~',
        value = [
            "peerAddress: 127.0.0.1:0 ~ peerAddress: 127.0.0.1 ~ " +
                "f:4: peerAddress: is '127.0.0.1'; allowed: host:port, such as 127.0.0.1:8080",
            "peerAddress: 127.0.0.1:0 ~ operatorAddress: 127.0.0.1:0 ~ f:1: peerAddress: is missing; allowed: a text",
            "http://127.0.0.1:2379 ~ 127.0.0.1:2379 ~ " +
                "f:5: platformAddress: is '127.0.0.1:2379'; allowed: http://host:port, such as http://127.0.0.1:8080",
            "instance: entry-1 ~ loadRefresh: 0s ~ f:1: instance: is missing; allowed: a text",
            "failureDomain: domain-1 ~ zone: domain-1 ~ f:2: zone: unknown key 'zone'; allowed: " +
                "addressValidity, billFlush, callerAddress, decisionPreset, demandReport, failureDomain, " +
                "instance, largestBodyBytes, " +
                "listRefresh, listsStaleAfter, loadRefresh, operatorAddress, peerAddress, platformAddress, " +
                "shutdownGrace",
        ],
    )
    fun `each invalid setting names line, key, value and allowed values`(from: String, to: String, expected: String) {
        assertEquals(listOf(expected), errors(valid.replace(from, to)))
    }

    @ParameterizedTest
    @CsvSource("addressValidity", "listRefresh", "loadRefresh", "billFlush", "listsStaleAfter", "shutdownGrace")
    fun `each duration must be positive and have a unit`(key: String) {
        assertEquals(listOf("f:6: $key: is 0s; allowed: more than 0s"), errors("$valid\n$key: 0s"))
        val expected = "f:6: $key: is '5'; allowed: a number with a unit, such as 500ms or 2s"
        assertEquals(listOf(expected), errors("$valid\n$key: 5"))
    }
}
