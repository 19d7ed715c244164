package io.quetzalfield.support.status

import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListsRevision
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * What `GET /operator/status` of an entry or a steward answers.
 *
 * @property listsRevision revision of the operators' lists that is in force there; `null` at a daemon without lists.
 * @property sections everything else, by the name of its [StatusSection].
 */
@Serializable
public data class DaemonStatus(
    val kind: InstanceKind,
    val incarnation: Incarnation,
    val listsRevision: ListsRevision? = null,
    val sections: Map<String, JsonElement> = emptyMap(),
)
