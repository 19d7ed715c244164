package io.quetzalfield.history

/** The guarantees that must always hold. */
public enum class Promise(public val statement: String) {
    PLAN_ALLOWS_VERSION("a request runs only on a model and version its plan allows"),
    WITHDRAWN_VERSION_IDLE("a withdrawn version gets no new work"),
    SESSION_KEEPS_VERSION("a session keeps its version from start to end"),
    BILLED_ONCE("each request is billed once"),
    WHOLE_OWN_ANSWER("a caller gets the whole answer to its own request"),
    NOT_RUN_IS_TRUE("a refusal that says \"not run\" is true"),
    AT_MOST_ONCE("a non-idempotent operation runs at most once"),
    LEAVING_ENDPOINT_IDLE("a leaving endpoint gets no new work after a bound"),
    SHUTDOWN_CUTS_NOTHING("a graceful shutdown cuts no request"),
    LISTS_IN_FORCE("an accepted change is in force everywhere within a bound and never reverts"),
    EVACUATED_DOMAIN_IDLE("the endpoints of an evacuated failure domain get nothing after a bound"),
    COLD_ENDPOINT_SPARED("a cold endpoint gets no more requests in a second than it bears"),
}

/** A violation of [promise] by [subject]: a request key, an entry, an endpoint or an account. */
public data class Violation(val promise: Promise, val subject: String, val message: String) {
    override fun toString(): String = "$promise: $subject: $message"
}

/** The result of a checker. */
public sealed interface Verdict {
    public val promise: Promise

    /** All [checkedCases] cases of the promise in the history satisfy it. */
    public data class Holds(override val promise: Promise, val checkedCases: Int) : Verdict

    /** Some cases violate the promise. */
    public data class Broken(override val promise: Promise, val violations: List<Violation>) : Verdict

    /** The history has no case that could show whether the promise holds. */
    public data class NothingToCheck(override val promise: Promise) : Verdict
}

/** Checks one promise over a recorded history. Without cases, the verdict is [Verdict.NothingToCheck]. */
public class PromiseChecker<T>(
    public val promise: Promise,
    private val cases: (History) -> List<T>,
    private val subject: (T) -> Any,
    private val fault: History.(T) -> String?,
) {
    /** The violations of the promise in [history]. */
    public fun violations(history: History): List<Violation> = cases(history).mapNotNull { case ->
        history.fault(case)?.let { Violation(promise, "${subject(case)}", it) }
    }

    /** The verdict on [history]. */
    public fun check(history: History): Verdict {
        val checkedCases = cases(history).size
        val violations = violations(history)
        return when {
            checkedCases == 0 -> Verdict.NothingToCheck(promise)
            violations.isEmpty() -> Verdict.Holds(promise, checkedCases)
            else -> Verdict.Broken(promise, violations)
        }
    }
}

/** The checkers of all promises, in the order of [Promise]. */
public val promiseCheckers: List<PromiseChecker<*>> = listOf(
    planAllowsVersionChecker,
    withdrawnVersionChecker,
    sessionChecker,
    billChecker,
    wholeAnswerChecker,
    notRunChecker,
    atMostOnceChecker,
    leavingEndpointChecker,
    shutdownChecker,
    listsChecker,
    evacuationChecker,
    coldEndpointChecker,
)

/** The verdict of every checker on [history], in the order of [Promise]. */
public fun checkAll(history: History): List<Verdict> = promiseCheckers.map { it.check(history) }
