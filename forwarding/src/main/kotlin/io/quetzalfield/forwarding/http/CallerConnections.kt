package io.quetzalfield.forwarding.http

/** The open connections of callers. Used on the event loop only. */
public class CallerConnections {
    private val open = LinkedHashSet<CallerConnection>()

    /** Whether no connection is open. */
    public val isEmpty: Boolean get() = open.isEmpty()

    internal fun add(connection: CallerConnection) {
        open += connection
    }

    internal fun remove(connection: CallerConnection) {
        open -= connection
    }

    /** Closes idle connections at once and the others after their current answer. */
    public fun closeWhenIdle(): Unit = open.toList().forEach(CallerConnection::closeWhenIdle)

    /** Answers all open requests now. */
    public fun giveUp(): Unit = open.toList().forEach(CallerConnection::giveUp)
}
