package io.quetzalfield.decision

/**
 * Cumulative observations of one version's answers since entries began to count them.
 *
 * @property answers number of complete answers.
 * @property rated number of answers that have been rated.
 * @property passed number of rated answers that passed.
 * @property errors number of attempts that the version's runners failed.
 * @property slow number of answers that were too slow.
 * @property timed number of answers whose latency was evaluated; the complete answers unless latency is evaluated
 * independently of completion.
 */
public data class RolloutObservations(
    val answers: Long = 0,
    val rated: Long = 0,
    val passed: Long = 0,
    val errors: Long = 0,
    val slow: Long = 0,
    val timed: Long = answers,
) {
    public operator fun plus(other: RolloutObservations): RolloutObservations = RolloutObservations(
        answers = answers + other.answers,
        rated = rated + other.rated,
        passed = passed + other.passed,
        errors = errors + other.errors,
        slow = slow + other.slow,
        timed = timed + other.timed,
    )

    /** Returns what was observed since [earlier], an observation of the same answers. */
    public operator fun minus(earlier: RolloutObservations): RolloutObservations = RolloutObservations(
        answers = answers - earlier.answers,
        rated = rated - earlier.rated,
        passed = passed - earlier.passed,
        errors = errors - earlier.errors,
        slow = slow - earlier.slow,
        timed = timed - earlier.timed,
    )
}
