package io.quetzalfield.support.status

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListsRevision
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * The response of an entry or a steward to `GET /operator/status`.
 *
 * @property listsRevision revision of the operators' lists in force; `null` for a daemon without lists.
 * @property sections the rest of the status, by the name of the [StatusSection].
 */
@Serializable
public data class DaemonStatus(
    val kind: InstanceKind,
    val incarnation: Incarnation,
    val listsRevision: ListsRevision? = null,
    val sections: Map<String, JsonElement> = emptyMap(),
)
