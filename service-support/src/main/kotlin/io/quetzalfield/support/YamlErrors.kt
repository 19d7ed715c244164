@file:OptIn(ExperimentalSerializationApi::class)

package io.quetzalfield.support

import com.charleskorn.kaml.DuplicateKeyException
import com.charleskorn.kaml.EmptyYamlDocumentException
import com.charleskorn.kaml.MalformedYamlException
import com.charleskorn.kaml.MissingRequiredPropertyException
import com.charleskorn.kaml.UnknownPropertyException
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlPath
import com.charleskorn.kaml.YamlPathSegment
import com.charleskorn.kaml.YamlScalar
import io.quetzalfield.model.ScalarFormatException
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames

private const val WHOLE_FILE = "file"

/** Converts an error of the YAML library into one that names key, value and what [root] allows there. */
internal fun YamlException.toSettingsError(
    fileName: String,
    root: SerialDescriptor,
    document: YamlNode?,
): SettingsError {
    val inner = cause
    if (inner is YamlException) return inner.toSettingsError(fileName, root, document)
    val key = path.toKey()
    return when (this) {
        is UnknownPropertyException ->
            SettingsError(
                fileName,
                line,
                key,
                "unknown key '$propertyName'",
                validPropertyNames.sorted().joinToString(),
            )

        is MissingRequiredPropertyException ->
            SettingsError(
                fileName,
                line,
                missingKey(path, propertyName),
                "is missing",
                root.allowedAt(path, propertyName),
            )

        is DuplicateKeyException -> SettingsError(fileName, line, key, "occurs twice", "each key once")

        is EmptyYamlDocumentException -> SettingsError(fileName, line, WHOLE_FILE, "is empty", root.allowed())

        is MalformedYamlException ->
            SettingsError(fileName, line, key, "is not valid YAML: ${message.lineSequence().first()}", "YAML")

        else -> SettingsError(fileName, line, key, "is ${document?.textAt(path) ?: message}", root.allowedAt(path))
    }
}

/** Converts an error of one of the project's own serializers in the same way. */
internal fun ScalarFormatException.toSettingsError(
    fileName: String,
    root: SerialDescriptor,
    document: YamlNode,
): SettingsError {
    val node = document.findScalar(root, this) ?: document
    return SettingsError(fileName, node.location.line, node.path.toKey(), "is '$text'", allowed)
}

private fun YamlNode.findScalar(descriptor: SerialDescriptor, error: ScalarFormatException): YamlNode? = when (this) {
    is YamlScalar -> takeIf { content == error.text && descriptor.serialName.removeSuffix("?") == error.serialName }

    is YamlList -> items.firstNotNullOfOrNull { it.findScalar(descriptor.getElementDescriptor(0), error) }

    is YamlMap -> entries.firstNotNullOfOrNull { (key, value) ->
        descriptor.elementOrNull(key.content)?.let { value.findScalar(it, error) }
    }

    else -> null
}

private fun YamlPath.toKey(): String {
    val isRoot = segments.none { it is YamlPathSegment.MapElementKey || it is YamlPathSegment.ListEntry }
    return if (isRoot) WHOLE_FILE else toHumanReadableString()
}

private fun missingKey(path: YamlPath, name: String): String {
    val parent = path.toKey()
    return if (parent == WHOLE_FILE) name else "$parent.$name"
}

private fun YamlNode.textAt(path: YamlPath): String? {
    var node: YamlNode = this
    for (segment in path.segments) {
        node = when (segment) {
            is YamlPathSegment.MapElementKey -> (node as? YamlMap)?.get<YamlNode>(segment.key)
            is YamlPathSegment.ListEntry -> (node as? YamlList)?.items?.getOrNull(segment.index)
            else -> node
        } ?: return null
    }
    return if (node is YamlScalar) "'${node.content}'" else node.contentToString()
}

private fun SerialDescriptor.allowedAt(path: YamlPath, lastKey: String? = null): String {
    var descriptor = this
    for (segment in path.segments) {
        descriptor = when (segment) {
            is YamlPathSegment.MapElementKey -> descriptor.elementOrNull(segment.key) ?: return descriptor.allowed()
            is YamlPathSegment.ListEntry -> descriptor.getElementDescriptor(0)
            else -> descriptor
        }
    }
    return (lastKey?.let { descriptor.elementOrNull(it) } ?: descriptor).allowed()
}

private fun SerialDescriptor.elementOrNull(key: String): SerialDescriptor? {
    val index = getElementIndex(key)
    return if (index < 0) null else getElementDescriptor(index)
}

/** Describes the values that match this descriptor. */
private fun SerialDescriptor.allowed(): String = when {
    isInline -> getElementDescriptor(0).allowed()
    serialName.removeSuffix("?") == DurationSerializer.descriptor.serialName -> DurationSerializer.ALLOWED
    kind == SerialKind.ENUM -> "one of ${elementNames.joinToString()}"
    kind == PrimitiveKind.BOOLEAN -> "true or false"
    kind == PrimitiveKind.INT || kind == PrimitiveKind.LONG -> "a whole number"
    kind == PrimitiveKind.DOUBLE || kind == PrimitiveKind.FLOAT -> "a number"
    kind == StructureKind.LIST -> "a list"
    kind == StructureKind.CLASS -> "the keys ${elementNames.joinToString()}"
    else -> "a text"
}
