package io.quetzalfield.decision

/**
 * Sums of what was seen of one version's answers since entries began to count them.
 *
 * @property answers whole answers.
 * @property rated answers whose rating has come.
 * @property passed rated answers that passed.
 * @property errors attempts that the version's runners failed.
 * @property slow answers that were too slow.
 * @property timed answers whose speed was judged; whole answers unless it is judged apart from their end.
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
}
