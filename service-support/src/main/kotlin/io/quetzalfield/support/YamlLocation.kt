package io.quetzalfield.support

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlScalar

/** Keys whose values identify the elements of a list in the path of a fault. */
private val identifyingKeys = listOf("id", "plan")

/** A segment of a path: a key such as `plans`, or the identifier of a list's element such as `[bench]`. */
private val pathSegment = Regex("""([^.\[\]]+)|\[([^]]*)]""")

/**
 * The line, from 1, of [fault]: that of its key, or of the last segment of its path that exists in the file. In a list,
 * it is the line of the invalid element.
 */
internal fun YamlNode.lineOf(fault: SettingsFault): Int {
    var node = this
    var line = location.line
    for (segment in pathSegment.findAll(fault.key)) {
        val key = segment.groupValues[1]
        val next = if (key.isEmpty()) node.element(segment.groupValues[2]) else node.value(key)
        line = (if (key.isEmpty()) next?.location?.line else node.keyLine(key)) ?: return line
        node = next ?: return line
    }
    return node.element(fault.found)?.location?.line ?: line
}

private fun YamlNode.value(key: String): YamlNode? = (this as? YamlMap)?.get<YamlNode>(key)

private fun YamlNode.keyLine(key: String): Int? = (this as? YamlMap)?.getKey(key)?.location?.line

private fun YamlNode.element(name: String): YamlNode? = (this as? YamlList)?.items?.firstOrNull { item ->
    when (item) {
        is YamlMap -> identifyingKeys.any { key -> item.get<YamlNode>(key).isScalar(name) }
        else -> item.isScalar(name)
    }
}

private fun YamlNode?.isScalar(content: String): Boolean = (this as? YamlScalar)?.content == content
