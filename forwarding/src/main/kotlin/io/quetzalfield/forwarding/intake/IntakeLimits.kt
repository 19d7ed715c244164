package io.quetzalfield.forwarding.intake

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What the machine and the JVM allow this process.
 *
 * @property heapBytes largest size of the heap.
 * @property directBytes most memory for direct buffers.
 * @property memoryBytes memory of the machine; `null` if unknown.
 * @property descriptors files and sockets that the process may have open; `null` if unknown.
 */
public data class ProcessBounds(
    val heapBytes: Long,
    val directBytes: Long,
    val memoryBytes: Long? = null,
    val descriptors: Int? = null,
)

/**
 * Limits on what this process holds for all callers together.
 *
 * @property bodyBytes direct memory for bodies of requests, bytes read ahead and answers that callers have not read.
 * @property fieldBytes heap for header fields and for the state of connections.
 * @property connections connections of callers.
 * @property queryConnections connections to each address that answers queries.
 * @property pause longest time for which a body is not read because there is no memory for it.
 * @property grace time that a body, or the reading of an answer, may take whatever its size.
 * @property leastRate bytes per second that a body must arrive with after [grace] while another one waits for memory.
 * @property leastReadRate bytes per second with which an answer must be read after [grace] while a body waits.
 */
public data class IntakeLimits(
    val bodyBytes: Long,
    val fieldBytes: Long,
    val connections: Int,
    val queryConnections: Int,
    val pause: Duration = DefaultPause,
    val grace: Duration = DefaultGrace,
    val leastRate: Int = DEFAULT_LEAST_RATE,
    val leastReadRate: Int = DEFAULT_LEAST_READ_RATE,
) {
    /** Part of [bodyBytes] for the answers of endpoints that are not complete yet. */
    val answerBytes: Long get() = minOf(LARGEST_ANSWER_BYTES, bodyBytes / ANSWER_PART)

    public companion object {
        private const val MEBIBYTE = 1024L * 1024
        private const val LARGEST_ANSWER_BYTES = 32 * MEBIBYTE
        private const val ANSWER_PART = 4

        /** Fraction of the direct memory that is left to the buffers of reads and writes. */
        private const val BUFFER_PART = 8

        /** Fraction of the heap that fields and connections may take; the rest is for everything else. */
        private const val FIELD_PART = 4

        /** Memory of the process beside the bodies: classes, code, threads and the usual heap. */
        private const val OTHER_MEMORY = 128 * MEBIBYTE

        /** Connections use at most half of the memory for fields. */
        private const val CONNECTION_PART = 2
        private const val LARGEST_QUERY_CONNECTIONS = 64

        /** Of each 16 descriptors, 7 are for callers, 1 for each address for queries, the others for endpoints. */
        private const val DESCRIPTOR_PARTS = 16
        private const val CALLER_PARTS = 7
        private const val DEFAULT_LEAST_RATE = 65_536
        private const val DEFAULT_LEAST_READ_RATE = 16_384
        private val DefaultPause = 1_000.milliseconds
        private val DefaultGrace = 3.seconds

        /** Derives the limits from [bounds]. */
        public fun of(bounds: ProcessBounds): IntakeLimits {
            val direct = bounds.directBytes - bounds.directBytes / BUFFER_PART
            val byMemory = bounds.memoryBytes?.let { maxOf(it - OTHER_MEMORY, it / BUFFER_PART) } ?: direct
            val fields = bounds.heapBytes / FIELD_PART
            val byFields = (fields / CONNECTION_PART / IntakeBudget.CONNECTION_BYTES).toInt()
            val part = bounds.descriptors?.let { it / DESCRIPTOR_PARTS }
            return IntakeLimits(
                bodyBytes = minOf(direct, byMemory),
                fieldBytes = fields,
                connections = minOf(byFields, part?.let { it * CALLER_PARTS } ?: byFields).coerceAtLeast(1),
                queryConnections = minOf(part ?: LARGEST_QUERY_CONNECTIONS, LARGEST_QUERY_CONNECTIONS).coerceAtLeast(1),
            )
        }
    }
}
