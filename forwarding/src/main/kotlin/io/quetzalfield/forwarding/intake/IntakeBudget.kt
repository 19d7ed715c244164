package io.quetzalfield.forwarding.intake

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** What one connection of a caller holds and waits for. Changed by [IntakeBudget] only. */
public class IntakeShare internal constructor() {
    /** Direct memory that is held for the body of the request, in bytes. */
    public var bodyBytes: Long = 0
        internal set

    /** Direct memory of answers that the caller has not read and of requests that it sent ahead, in bytes. */
    public var pendingBytes: Long = 0
        internal set

    /** Heap that is held for header fields, in bytes. */
    public var fieldBytes: Long = 0
        internal set

    /** Bytes of the body that have arrived. */
    public var receivedBytes: Long = 0
        internal set

    /** Bytes for which this connection is not read; 0 if it does not wait. */
    public var awaitedBytes: Long = 0
        internal set

    /** Bytes of answers that the caller has still to read. */
    public var unreadBytes: Long = 0
        internal set

    /** Bytes that the caller has read since it last had read all. */
    internal var readBytes: Long = 0
    internal var unreadSince: Duration = Duration.ZERO
    internal var beganAt: Duration? = null
    internal var awaitedSince: Duration = Duration.ZERO
    internal var pendingSince: Duration = Duration.ZERO
}

/** What is to be done with connections after a change of the budget. */
public class IntakeSettlement(
    /** Connections that have got the memory for which they waited, and are read again. */
    public val resumed: List<IntakeShare>,
    /** Connections that have waited for too long; their requests are refused as not run. */
    public val refused: List<IntakeShare>,
    /** Connections whose bodies arrive too slowly while others wait; their requests are refused as not run. */
    public val stalled: List<IntakeShare>,
    /** Connections to be closed as their answers are read too slowly while others wait. */
    public val slowReaders: List<IntakeShare>,
    /** Connections to be closed as unread answers take more than their part of the memory while others wait. */
    public val unread: List<IntakeShare>,
)

/**
 * Decides which callers may send on, which wait and which are refused, so that what is held for all of them never
 * exceeds [IntakeLimits]. Holds no buffers and no connections; used by one thread.
 *
 * Load pattern: many bodies at once, of which some stop before their end. Memory is promised to a declared body at its
 * head, so that a body that has begun can always be completed. A body that does not fit waits unread, in order of
 * arrival; each wait ends with the memory or, after [IntakeLimits.pause], with a refusal. While a body waits, those
 * that arrive slower than [IntakeLimits.leastRate] lose their memory, and so do answers that are read slower than
 * [IntakeLimits.leastReadRate], and those left for longest beyond half of the memory: new answers come without a wait
 * and would take whatever is closed. No more of them are closed than the first wait needs. Small bodies and short heads
 * have a part of the memory for themselves, so that large ones do not keep them out.
 *
 * @param outsideBytes direct memory that is held for callers elsewhere and counts too.
 */
public class IntakeBudget(
    public val limits: IntakeLimits,
    timeSource: TimeSource = TimeSource.Monotonic,
    private val outsideBytes: () -> Long = { 0 },
) {
    private val start = timeSource.markNow()
    private val now: Duration get() = start.elapsedNow()
    private val shares = LinkedHashSet<IntakeShare>()
    private val waiting = LinkedHashSet<IntakeShare>()
    private val pending = LinkedHashSet<IntakeShare>()

    /** Direct memory that is held for all connections, in bytes. */
    public var heldBytes: Long = 0
        private set

    /** Heap that is held for all connections, in bytes. */
    public var heldFieldBytes: Long = 0
        private set

    /** Number of connections that wait for memory. */
    public val waitingCount: Int get() = waiting.size

    /** Number of open connections. */
    public val connectionCount: Int get() = shares.size

    /** Whether there is room for one more connection. */
    public val hasRoomForConnection: Boolean get() = shares.size < limits.connections

    /** Registers a connection. */
    public fun open(): IntakeShare {
        heldFieldBytes += CONNECTION_BYTES
        return IntakeShare().also(shares::add)
    }

    /** Forgets the connection of [share] and all that it held. */
    public fun close(share: IntakeShare) {
        if (!shares.remove(share)) return
        endRequest(share)
        setPending(share, 0)
        heldFieldBytes -= CONNECTION_BYTES
    }

    /** Holds [bytes] more for the body of [share] and returns `true`, or holds nothing if there is no room for them. */
    public fun tryHoldBody(share: IntakeShare, bytes: Long): Boolean {
        if (share.beganAt == null) share.beganAt = now
        val isQueued = waiting.any { it !== share && isSmall(it, it.awaitedBytes) == isSmall(share, bytes) }
        if (isQueued || !fits(share, bytes)) return false
        hold(share, bytes)
        return true
    }

    /** Lets [share] wait for [bytes]; it is resumed or refused by a [settle]. */
    public fun await(share: IntakeShare, bytes: Long) {
        share.awaitedBytes = bytes
        share.awaitedSince = now
        waiting += share
    }

    /** Records that [bytes] of the body of [share] have arrived. */
    public fun recordArrival(share: IntakeShare, bytes: Int) {
        share.receivedBytes += bytes
    }

    /** Records that the body of [share] is complete: it cannot be too slow any more. */
    public fun recordComplete(share: IntakeShare) {
        share.beganAt = null
    }

    /** Holds the memory of a header field of [bytes] and returns `true`, or `false` if there is no room for it. */
    public fun tryHoldField(share: IntakeShare, bytes: Int): Boolean {
        val cost = bytes + FIELD_OVERHEAD
        val isShort = share.fieldBytes + cost <= SHORT_HEAD_BYTES
        val unopened = (limits.connections - shares.size).coerceAtLeast(0) * CONNECTION_BYTES
        val room = limits.fieldBytes - unopened - if (isShort) 0 else limits.fieldBytes / RESERVED_PART
        if (heldFieldBytes + cost > room) return false
        share.fieldBytes += cost
        heldFieldBytes += cost
        return true
    }

    /** Releases what [share] held for its request; its wait ends. */
    public fun endRequest(share: IntakeShare) {
        waiting -= share
        share.awaitedBytes = 0
        heldBytes -= share.bodyBytes
        share.bodyBytes = 0
        heldFieldBytes -= share.fieldBytes
        share.fieldBytes = 0
        share.receivedBytes = 0
        share.beganAt = null
    }

    /**
     * Records that the caller of [share] leaves [bytes] unread or has sent them ahead. Returns the connections that are
     * to be closed for it, those first that have left their bytes for longest; their bytes are no longer counted.
     */
    public fun setPending(share: IntakeShare, bytes: Long): List<IntakeShare> {
        if (share.pendingBytes == 0L && bytes > 0) share.pendingSince = now
        heldBytes += bytes - share.pendingBytes
        share.pendingBytes = bytes
        if (bytes > 0) pending += share else pending -= share
        val closed = mutableListOf<IntakeShare>()
        while (heldBytes + outsideBytes() > limits.bodyBytes && pending.isNotEmpty()) {
            val longest = pending.minBy(IntakeShare::pendingSince)
            dropPending(longest)
            closed += longest
        }
        return closed
    }

    /** Records that the caller of [share] has [bytes] of its answers still to read. */
    public fun recordUnread(share: IntakeShare, bytes: Long) {
        if (share.unreadBytes == 0L) {
            share.unreadSince = now
            share.readBytes = 0
        }
        share.readBytes += (share.unreadBytes - bytes).coerceAtLeast(0)
        share.unreadBytes = bytes
    }

    /** Gives free memory to those that wait, in order, and ends the waits that have lasted too long. */
    public fun settle(): IntakeSettlement {
        val (slowReaders, unread) = closeReaders().partition(::isSlowReader)
        val resumed = mutableListOf<IntakeShare>()
        val blocked = HashSet<Boolean>()
        for (share in waiting.toList()) {
            val isSmall = isSmall(share, share.awaitedBytes)
            if (isSmall in blocked) continue
            if (!fits(share, share.awaitedBytes)) {
                blocked += isSmall
                continue
            }
            waiting -= share
            hold(share, share.awaitedBytes)
            share.awaitedBytes = 0
            resumed += share
        }
        val refused = waiting.filter { now - it.awaitedSince >= limits.pause }
        waiting -= refused.toSet()
        val stalled = if (waiting.isEmpty() && refused.isEmpty()) emptyList() else shares.filter(::isStalled)
        return IntakeSettlement(resumed, refused, stalled - refused.toSet(), slowReaders, unread)
    }

    /** Stops counting answers, slow readers first, until the bodies fit that have waited longest. */
    private fun closeReaders(): List<IntakeShare> {
        val next = waiting.distinctBy { isSmall(it, it.awaitedBytes) }
        var missing = next.maxOfOrNull { counted(it.awaitedBytes) - room(it, it.awaitedBytes) } ?: 0
        if (missing <= 0) return emptyList()
        var left = pending.sumOf(IntakeShare::pendingBytes)
        val closed = mutableListOf<IntakeShare>()
        val worstFirst = compareBy<IntakeShare>({ !isSlowReader(it) }, IntakeShare::pendingSince)
        for (share in (pending - waiting).sortedWith(worstFirst)) {
            if (missing <= 0) break
            if (!isSlowReader(share) && left <= limits.bodyBytes / READER_PART) continue
            missing -= share.pendingBytes
            left -= share.pendingBytes
            dropPending(share)
            closed += share
        }
        return closed
    }

    private fun isSlowReader(share: IntakeShare): Boolean {
        val beyondGrace = now - share.unreadSince - limits.grace
        return share.unreadBytes > 0 && beyondGrace > Duration.ZERO &&
            share.readBytes < beyondGrace.toDouble(DurationUnit.SECONDS) * limits.leastReadRate
    }

    private fun dropPending(share: IntakeShare) {
        pending -= share
        heldBytes -= share.pendingBytes
        share.pendingBytes = 0
    }

    private fun isStalled(share: IntakeShare): Boolean {
        val began = share.beganAt ?: return false
        if (share.bodyBytes == 0L || share in waiting) return false
        val beyondGrace = now - began - limits.grace
        return beyondGrace > Duration.ZERO &&
            share.receivedBytes < beyondGrace.toDouble(DurationUnit.SECONDS) * limits.leastRate
    }

    private fun hold(share: IntakeShare, bytes: Long) {
        share.bodyBytes += bytes
        heldBytes += bytes
    }

    private fun isSmall(share: IntakeShare, bytes: Long) = share.bodyBytes + bytes <= SMALL_BODY_BYTES

    private fun fits(share: IntakeShare, bytes: Long) = counted(bytes) <= room(share, bytes)

    private fun counted(bytes: Long) = heldBytes + outsideBytes() + bytes

    private fun room(share: IntakeShare, bytes: Long): Long =
        if (isSmall(share, bytes)) limits.bodyBytes else limits.bodyBytes - limits.bodyBytes / RESERVED_PART

    public companion object {
        /** Heap for the state of one connection, in bytes. */
        public const val CONNECTION_BYTES: Int = 8_192

        /** Heap for the objects of one header field, in bytes. */
        public const val FIELD_OVERHEAD: Int = 200

        /** Size of a body up to which it may use the memory that is kept from larger ones. */
        public const val SMALL_BODY_BYTES: Long = 65_536

        /** Heap of a head up to which it may use the memory that is kept from larger ones; some 60 fields. */
        private const val SHORT_HEAD_BYTES = 16_384

        /** Fraction of the memory that is kept for small bodies and short heads. */
        private const val RESERVED_PART = 8

        /** Fraction of the memory that unread answers keep while a body waits, unless they are read too slowly. */
        private const val READER_PART = 2
    }
}
