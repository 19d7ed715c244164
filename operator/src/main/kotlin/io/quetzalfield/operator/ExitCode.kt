package io.quetzalfield.operator

/** Exit codes of `quetzalfield`. The command line library ends with 1 when the command line itself is wrong. */
public enum class ExitCode(public val code: Int) {
    /** The lists cannot be applied; nothing was written. */
    LISTS_REFUSED(2),

    /** Another operator has written since; nothing was written. */
    CLASH(3),

    /** The platform gave no answer. */
    PLATFORM_SILENT(4),

    /** The lists are written, but not in force at every live entry. */
    NOT_IN_FORCE(5),

    /** No live entry knows the request. */
    NOT_FOUND(6),

    /** The recorded history cannot be read, breaks a promise, or has nothing to check. */
    HISTORY_REFUSED(7),
}
