package io.quetzalfield.forwarding

import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage

/**
 * Writes structured log lines of `key="value"` pairs, one for each decision that affects a request or changes the state
 * of this process. The appender is bounded and drops lines instead of blocking.
 */
public object DecisionLog {
    private val logger = LogManager.getLogger("io.quetzalfield.decisions")

    /** Writes one line for [event] with [fields]; fields with a `null` value are omitted. */
    public fun write(event: String, vararg fields: Pair<String, Any?>) {
        if (!logger.isInfoEnabled) return
        val message = StringMapMessage(fields.size + 1).with("event", event)
        for ((key, value) in fields) if (value != null) message.with(key, value.toString())
        logger.info(message)
    }
}
