package io.quetzalfield.support

import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Nested
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class SettingsLoaderTest {
    @Serializable
    private enum class Colour { RED, BLUE }

    @Serializable
    private data class Part(val id: String, val weight: Double = 1.0, val tags: List<String> = emptyList())

    @Serializable
    private data class Settings(
        val name: String,
        val wait: SettingDuration,
        val limit: Long = 1,
        val colour: Colour = Colour.RED,
        val parts: List<Part> = emptyList(),
    )

    private fun errors(text: String, vararg faults: SettingsFault): List<String> =
        parseYaml("file.yaml", text.replace("|", "\n"), Settings.serializer()) { faults.toList() }
            .fold({ errors -> errors.map(SettingsError::toString) }, { emptyList() })

    @Nested
    inner class DecodingErrors {
        @ParameterizedTest
        @CsvSource(
            delimiter = '~',
            value = [
                "name: a|wait: 2s|colr: RED~ " +
                    "file.yaml:3: colr: unknown key 'colr'; allowed: colour, limit, name, parts, wait",
                "name: a|wait: 2 lightyears~ " +
                    "file.yaml:2: wait: is '2 lightyears'; allowed: a number with a unit, such as 500ms or 2s",
                "name: a|wait: 2~ file.yaml:2: wait: is '2'; allowed: a number with a unit, such as 500ms or 2s",
                "name: a|limit: 3~ file.yaml:1: wait: is missing; allowed: a number with a unit, such as 500ms or 2s",
                "name: a|wait: 2s|limit: many~ file.yaml:3: limit: is 'many'; allowed: a whole number",
                "name: a|wait: 2s|colour: GREEN~ file.yaml:3: colour: is 'GREEN'; allowed: one of RED, BLUE",
                "name: a|wait: 2s|parts: 7~ file.yaml:3: parts: is '7'; allowed: a list",
                "name: a|wait: 2s|parts:|  - id: x|  - weight: 2~ " +
                    "file.yaml:5: parts[1].id: is missing; allowed: a text",
                "name: a|name: b|wait: 2s~ file.yaml:2: name: occurs twice; allowed: each key once",
            ],
        )
        fun `each decoding error names line, key, value and what is allowed`(text: String, allowedParts: String) {
            assertEquals(listOf(allowedParts), errors(text))
        }

        @Test
        fun `an empty file is refused`() {
            assertEquals(
                listOf("file.yaml:1: file: is empty; allowed: the keys name, wait, limit, colour, parts"),
                errors(""),
            )
        }

        @Test
        fun `a missing file is refused`() {
            val errors = loadYaml(Path.of("none.yaml"), Settings.serializer()).fold({ it }, { emptyList() })
            assertEquals(listOf("none.yaml" to "file"), errors.map { it.file to it.key })
        }
    }

    @Nested
    inner class Faults {
        private val text = "wait: 2s|parts:|  - id: limit: # a key's name in a comment and in a value|" +
            "    tags: [a]|  - id: \"1.2\"|    weight: 3|    tags:|      - a|      - b|limit: 5|name: 'limit: 1'"

        @ParameterizedTest
        @CsvSource(
            "limit, 5, 10",
            "parts[1.2].weight, 3, 6",
            "parts[1.2].tags, b, 9",
            "parts[1.2].colour, absent, 5",
            "parts[none].weight, 3, 2",
            "colour, RED, 1",
        )
        fun `a fault is located by its path`(key: String, found: String, line: Int) {
            val readable = text.replace("limit: #", "x #")
            val expected = listOf("file.yaml:$line: $key: is $found; allowed: other")
            assertEquals(expected, errors(readable, SettingsFault(key, found, "other")))
        }
    }
}
