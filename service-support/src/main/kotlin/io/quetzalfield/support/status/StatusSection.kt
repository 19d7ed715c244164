package io.quetzalfield.support.status

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/**
 * One section of a daemon's status, such as its leases. Any part of a program can provide a section, which the operator
 * interface, the status page and `quetzalfield watch` then show.
 *
 * @property name key of the section in the status.
 */
public interface StatusSection {
    public val name: String

    /** Returns the current state. Called for each status request; must not wait for another process. */
    public fun read(): JsonElement
}

/** A section named [name] that shows what [read] returns. */
public fun <T> statusSection(name: String, serializer: KSerializer<T>, read: () -> T): StatusSection =
    SerializedSection(name, serializer, read)

/** Reads the current state of each section, by name. */
public fun List<StatusSection>.readAll(): Map<String, JsonElement> = associate { it.name to it.read() }

private class SerializedSection<T>(
    override val name: String,
    private val serializer: KSerializer<T>,
    private val value: () -> T,
) : StatusSection {
    override fun read(): JsonElement = statusJson.encodeToJsonElement(serializer, value())
}

internal val statusJson: Json = Json { encodeDefaults = true }
