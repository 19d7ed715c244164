package io.quetzalfield.model

import kotlinx.serialization.Serializable
import kotlin.jvm.JvmInline

/** Identifies a customer of the operator, to whom API keys, allowances and bills belong. */
@Serializable
@JvmInline
public value class ClientAccountId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a plan that client accounts subscribe to. */
@Serializable
@JvmInline
public value class PlanId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a model, independent of its versions. */
@Serializable
@JvmInline
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a version of a model; unique only within the model. */
@Serializable
@JvmInline
public value class VersionId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a plain service to which requests are routed in addition to the models. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a conversation that uses the same model version from start to end. */
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

/** Identifies a request within the system; used to look up its explanation. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one attempt to send a request to one runner; never reused. */
@Serializable
@JvmInline
public value class AttemptId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an instance by its name on the platform; reused when the instance is restarted. */
@Serializable
@JvmInline
public value class InstanceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a failure domain, a group of instances that may fail together. */
@Serializable
@JvmInline
public value class FailureDomainId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a runner, a process that runs one or more model versions. */
@Serializable
@JvmInline
public value class RunnerId(public val value: String) {
    override fun toString(): String = value
}

/** A hash of the content of a request, by which requests that crash runners are recognised. */
@Serializable
@JvmInline
public value class RequestFingerprint(public val value: String) {
    override fun toString(): String = value
}

/**
 * Identifies one run of a process by the instance on which it runs and a random start number that is never reused. All
 * state that refers to a process refers to its incarnation, so that a restarted process is never mistaken for the
 * previous one.
 */
@Serializable
public data class Incarnation(val instance: InstanceId, val start: String) : Comparable<Incarnation> {
    override fun toString(): String = "${instance.value}~$start"

    override fun compareTo(other: Incarnation): Int = toString().compareTo(other.toString())

    public companion object {
        /** Parses the output of [toString]; returns `null` if [text] has another form. */
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
