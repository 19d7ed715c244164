package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.DecisionLog
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoredValue
import kotlinx.serialization.SerializationException

/** The instances that take requests, as the store lists them. Used on the event loop only. */
public class Members(private val own: MemberRecord) {
    private val records = HashMap<String, MemberRecord>()

    /** Whether callers may be sent to this instance. */
    public var isOwnTaking: Boolean = false

    /** The incarnations that are listed, with this one. */
    public val incarnations: Set<Incarnation>
        get() = records.values.mapTo(HashSet()) { it.incarnation } + own.incarnation

    /** Instances that share the bounds of the whole fleet; at least this one. */
    public val count: Int get() = incarnations.size

    /** Takes the whole list. */
    public fun replace(values: List<StoredValue>) {
        records.clear()
        values.forEach { put(it.key, it.value) }
    }

    /** Takes one change of the list. */
    public fun take(change: StoreChange) {
        val value = change.value
        if (value != null) put(change.key, value.value) else records.remove(change.key)
        DecisionLog.write("member_change", "key" to change.key, "is_listed" to (value != null), "members" to count)
    }

    /** The addresses to give to callers: those of all listed instances, this one only while it takes requests. */
    public fun addresses(): List<String> {
        val others = records.values.filter { it.isTaking && it.incarnation != own.incarnation }
        val all = others.map(MemberRecord::address) + listOfNotNull(own.address.takeIf { isOwnTaking })
        return all.distinct()
    }

    private fun put(key: String, json: String) {
        try {
            records[key] = PlatformJson.decodeFromString(MemberRecord.serializer(), json)
        } catch (error: SerializationException) {
            DecisionLog.write("member_unreadable", "key" to key, "reason" to error.message)
        }
    }
}
