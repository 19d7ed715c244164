package io.quetzalfield.model

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** A customer of the operator, the unit that holds API keys, allowances and bills. */
@Serializable
@JvmInline
public value class ClientAccountId(public val value: String) {
    override fun toString(): String = value
}

/** A plan that client accounts subscribe to. */
@Serializable
@JvmInline
public value class PlanId(public val value: String) {
    override fun toString(): String = value
}

/** A model, independent of its versions. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** A version of one model; unique only within its model. */
@Serializable
@JvmInline
public value class VersionId(public val value: String) {
    override fun toString(): String = value
}

/** A plain service that is routed to beside the models. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** A conversation that keeps one model version from start to end. */
@Serializable
@JvmInline
public value class SessionId(public val value: String) {
    override fun toString(): String = value
}

/** The caller's idempotency key; unique within a client account. */
@Serializable
@JvmInline
public value class RequestKey(public val value: String) {
    override fun toString(): String = value
}

/** The system's own id of a request, by which it is explained. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** One send of a request to one runner; unique for ever. */
@Serializable
@JvmInline
public value class AttemptId(public val value: String) {
    override fun toString(): String = value
}

/** An instance as the platform names it; reused when the instance is restarted. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** A group of instances that may fail together. */
@Serializable
@JvmInline
public value class FailureDomainId(public val value: String) {
    override fun toString(): String = value
}

/** A process that runs one or more model versions. */
@Serializable
@JvmInline
public value class RunnerId(public val value: String) {
    override fun toString(): String = value
}

/** A hash of the content of a request, by which a request that crashes runners is recognised. */
@Serializable
@JvmInline
public value class RequestFingerprint(public val value: String) {
    override fun toString(): String = value
}

/**
 * One run of a process: the instance it runs on and a random start number that is never reused.
 * All state that names a process names its incarnation, so that a restarted process is never taken for the former one.
 */
@Serializable
public data class Incarnation(val instance: InstanceId, val start: String) : Comparable<Incarnation> {
    override fun toString(): String = "${instance.value}~$start"

    override fun compareTo(other: Incarnation): Int = toString().compareTo(other.toString())

    public companion object {
        /** Reads what [toString] writes; `null` when [text] is of another form. */
        public fun parse(text: String): Incarnation? {
            val separator = text.lastIndexOf('~')
            if (separator <= 0 || separator == text.lastIndex) return null
            return Incarnation(InstanceId(text.substring(0, separator)), text.substring(separator + 1))
        }
    }
}

/** The revision of the operators' lists; a higher revision replaces a lower one. */
@Serializable
@JvmInline
public value class ListsRevision(public val value: Long) : Comparable<ListsRevision> {
    override fun compareTo(other: ListsRevision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The revision before any list was applied. */
        public val None: ListsRevision = ListsRevision(0)
    }
}
