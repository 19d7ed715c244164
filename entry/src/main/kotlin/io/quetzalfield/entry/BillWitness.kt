package io.quetzalfield.entry

import io.quetzalfield.model.Incarnation

/** What came of the attempt to store a bill at another entry. */
public enum class WitnessOutcome(public val label: String) {
    /** Another entry keeps the bill. */
    STORED("stored"),

    /** The key was billed before, so this bill does not count. */
    ALREADY_BILLED("already_billed"),

    /** The sender's incarnation was declared dead, so this bill cannot be billed under it. */
    SEALED("sealed"),

    /** No other entry answered in time; one of them may keep the bill all the same. */
    UNREACHABLE("unreachable"),
}

/** Keeps bills at other entries until they are stored in the incarnation's cell. */
public interface BillWitness {
    /** Stores [bill] at another entry, in a failure domain of its own where there is one. */
    public fun store(bill: NumberedBill): WitnessOutcome

    /** Tells the witnesses that [incarnation] lives and has stored its bills through [sequence]. */
    public fun forget(incarnation: Incarnation, sequence: Long)

    /**
     * Whether another entry than the one that keeps [bill] should: the keeper has gone, or it was not the first choice.
     * A retry finds the key at the first choice only.
     */
    public fun isMisplaced(bill: NumberedBill): Boolean

    public companion object {
        /** A witness that nobody answers for. */
        public val None: BillWitness = object : BillWitness {
            override fun store(bill: NumberedBill): WitnessOutcome = WitnessOutcome.UNREACHABLE

            override fun forget(incarnation: Incarnation, sequence: Long): Unit = Unit

            override fun isMisplaced(bill: NumberedBill): Boolean = false
        }
    }
}
