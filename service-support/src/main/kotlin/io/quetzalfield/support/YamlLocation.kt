package io.quetzalfield.support

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlScalar

/** Keys by which the elements of a list are named in the path of a fault. */
private val naming = listOf("id", "plan")

/** A step of a path: a key such as `plans`, or the name of a list's element such as `[bench]`. */
private val pathStep = Regex("""([^.\[\]]+)|\[([^]]*)]""")

/**
 * The line, from 1, at which [fault] stands: that of its key, or of the nearest part of its path that the file has.
 * In a list, that of the element which was found to be wrong.
 */
internal fun YamlNode.lineOf(fault: SettingsFault): Int {
    var node = this
    var line = location.line
    for (step in pathStep.findAll(fault.key)) {
        val key = step.groupValues[1]
        val next = if (key.isEmpty()) node.element(step.groupValues[2]) else node.value(key)
        line = (if (key.isEmpty()) next?.location?.line else node.keyLine(key)) ?: return line
        node = next ?: return line
    }
    return node.element(fault.found)?.location?.line ?: line
}

private fun YamlNode.value(key: String): YamlNode? = (this as? YamlMap)?.get<YamlNode>(key)

private fun YamlNode.keyLine(key: String): Int? = (this as? YamlMap)?.getKey(key)?.location?.line

private fun YamlNode.element(name: String): YamlNode? = (this as? YamlList)?.items?.firstOrNull { item ->
    when (item) {
        is YamlMap -> naming.any { key -> item.get<YamlNode>(key).isScalar(name) }
        else -> item.isScalar(name)
    }
}

private fun YamlNode?.isScalar(content: String): Boolean = (this as? YamlScalar)?.content == content
