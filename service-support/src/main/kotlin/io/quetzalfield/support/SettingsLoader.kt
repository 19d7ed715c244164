package io.quetzalfield.support

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode
import io.quetzalfield.model.ScalarFormatException
import kotlinx.serialization.KSerializer
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * An error in a YAML file.
 *
 * @property line line of the error, from 1; 0 when the file could not be read.
 * @property key path of the key.
 * @property problem description of the error, with the value that was found.
 * @property allowed description of the allowed values.
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

/**
 * A setting that can be decoded but whose value is invalid.
 *
 * @property key path of the key, such as `plans[bench].qualityTarget`.
 */
public data class SettingsFault(val key: String, val found: String, val allowed: String)

/**
 * The decoded content of a YAML file.
 *
 * @property document the nodes of the file, used to locate faults that are found later.
 */
public class LoadedYaml<T>(public val file: String, public val value: T, private val document: YamlNode) {
    /** Converts [fault] to an error with its line in the file. */
    public fun locate(fault: SettingsFault): SettingsError =
        SettingsError(file, document.lineOf(fault), fault.key, "is ${fault.found}", fault.allowed)
}

private val strictYaml = Yaml(configuration = YamlConfiguration(strictMode = true))

/** Reads [file] with [serializer] and applies [check]. Errors name file, line, key, value and what is allowed. */
public fun <T> loadYaml(
    file: Path,
    serializer: KSerializer<T>,
    check: (T) -> List<SettingsFault> = { emptyList() },
): Either<List<SettingsError>, T> = when (val text = readText(file)) {
    is Either.Left -> listOf(text.value).left()
    is Either.Right -> parseYaml("$file", text.value, serializer, check)
}

/** Reads [file] as [loadYaml] does, and keeps its nodes to locate faults that are found later. */
public fun <T> loadLocatedYaml(file: Path, serializer: KSerializer<T>): Either<List<SettingsError>, LoadedYaml<T>> =
    when (val text = readText(file)) {
        is Either.Left -> listOf(text.value).left()
        is Either.Right -> decodeYaml("$file", text.value, serializer)
    }

/** Reads [text], which came from [fileName], as [loadYaml] does. */
public fun <T> parseYaml(
    fileName: String,
    text: String,
    serializer: KSerializer<T>,
    check: (T) -> List<SettingsFault> = { emptyList() },
): Either<List<SettingsError>, T> = when (val loaded = decodeYaml(fileName, text, serializer)) {
    is Either.Left -> loaded

    is Either.Right -> {
        val faults = check(loaded.value.value)
        if (faults.isEmpty()) loaded.value.value.right() else faults.map(loaded.value::locate).left()
    }
}

private fun readText(file: Path): Either<SettingsError, String> = try {
    Files.readString(file).right()
} catch (error: IOException) {
    SettingsError("$file", 0, "file", "cannot be read: $error", "a readable YAML file").left()
}

private fun <T> decodeYaml(
    fileName: String,
    text: String,
    serializer: KSerializer<T>,
): Either<List<SettingsError>, LoadedYaml<T>> {
    val document = try {
        strictYaml.parseToYamlNode(text)
    } catch (error: YamlException) {
        return listOf(error.toSettingsError(fileName, serializer.descriptor, document = null)).left()
    }
    return try {
        LoadedYaml(fileName, strictYaml.decodeFromYamlNode(serializer, document), document).right()
    } catch (error: YamlException) {
        listOf(error.toSettingsError(fileName, serializer.descriptor, document)).left()
    } catch (error: ScalarFormatException) {
        listOf(error.toSettingsError(fileName, serializer.descriptor, document)).left()
    }
}
