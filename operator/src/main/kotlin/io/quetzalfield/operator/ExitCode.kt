package io.quetzalfield.operator

/** Exit codes of `quetzalfield`. The command line library exits with 1 on a usage error. */
public enum class ExitCode(public val code: Int) {
    /** The lists cannot be applied; nothing was written. */
    LISTS_REFUSED(2),

    /** Another operator has written lists in the meantime; nothing was written. */
    CLASH(3),

    /** The platform did not answer. */
    PLATFORM_SILENT(4),

    /** The lists are written, but not in force at every live entry. */
    NOT_IN_FORCE(5),

    /** No live entry knows the request. */
    NOT_FOUND(6),

    /** The recorded history cannot be read, breaks a promise, or has nothing to check. */
    HISTORY_REFUSED(7),
}
