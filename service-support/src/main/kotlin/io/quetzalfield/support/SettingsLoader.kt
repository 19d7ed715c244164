package io.quetzalfield.support

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.UnknownPropertyException
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import kotlinx.serialization.KSerializer
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * A fault in a YAML file.
 *
 * @property line line of the fault, from 1; 0 when it cannot be told.
 * @property key path of the key.
 * @property allowed what would be right.
 */
public data class SettingsError(
    val file: String,
    val line: Int,
    val key: String,
    val problem: String,
    val allowed: String,
) {
    override fun toString(): String = "$file:$line: $key: $problem; allowed: $allowed"
}

/** A fault that a check of already read settings found. */
public data class SettingsFault(val key: String, val found: String, val allowed: String)

private val strictYaml = Yaml(configuration = YamlConfiguration(strictMode = true))

/** Reads [file] by [serializer] and applies [check]; the errors name file, line, key, value and what is allowed. */
public fun <T> loadYaml(
    file: Path,
    serializer: KSerializer<T>,
    check: (T) -> List<SettingsFault> = { emptyList() },
): Either<List<SettingsError>, T> {
    val text = try {
        Files.readString(file)
    } catch (error: IOException) {
        return listOf(SettingsError("$file", 0, "file", "cannot be read: $error", "a readable YAML file")).left()
    }
    return parseYaml("$file", text, serializer, check)
}

/** Reads [text], which came from [fileName], as [loadYaml] does. */
public fun <T> parseYaml(
    fileName: String,
    text: String,
    serializer: KSerializer<T>,
    check: (T) -> List<SettingsFault> = { emptyList() },
): Either<List<SettingsError>, T> = try {
    val settings = strictYaml.decodeFromString(serializer, text)
    val faults = check(settings)
    if (faults.isEmpty()) settings.right() else faults.map { it.located(fileName, text) }.left()
} catch (error: YamlException) {
    listOf(error.toSettingsError(fileName)).left()
}

private fun YamlException.toSettingsError(fileName: String): SettingsError = when (this) {
    is UnknownPropertyException -> SettingsError(
        file = fileName,
        line = line,
        key = path.toHumanReadableString(),
        problem = "unknown key '$propertyName'",
        allowed = validPropertyNames.sorted().joinToString(),
    )

    else -> SettingsError(fileName, line, path.toHumanReadableString(), message, "see docs/OPERATING.md")
}

private fun SettingsFault.located(fileName: String, text: String): SettingsError {
    val lastKey = key.substringAfterLast('.').substringBefore('[')
    val line = text.lines().indexOfFirst { it.trimStart().removePrefix("- ").startsWith("$lastKey:") } + 1
    return SettingsError(fileName, line, key, "is $found", allowed)
}
