package io.quetzalfield.entry

import io.quetzalfield.model.Incarnation

/** The outcome of an attempt to store a bill at another entry. */
public enum class WitnessOutcome(public val label: String) {
    /** Another entry keeps the bill. */
    STORED("stored"),

    /** The key was billed before, so this bill does not count. */
    ALREADY_BILLED("already_billed"),

    /** The sender's incarnation was declared dead and sealed, so this bill cannot be billed under it. */
    SEALED("sealed"),

    /** No other entry answered in time; one of them may have stored the bill nevertheless. */
    UNREACHABLE("unreachable"),
}

/** Keeps bills at other entries until they are stored in the incarnation's cell. */
public interface BillWitness {
    /** Stores [bill] at another entry, in another failure domain if possible. */
    public fun store(bill: NumberedBill): WitnessOutcome

    /** Notifies the witnesses that [incarnation] is alive and has stored its bills through [sequence]. */
    public fun forget(incarnation: Incarnation, sequence: Long)

    /**
     * Returns whether [bill] should be moved to another witness, because the current one has left or is not the first
     * choice. A retry finds the key only at the first choice.
     */
    public fun isMisplaced(bill: NumberedBill): Boolean

    public companion object {
        /** A witness that is never reachable. */
        public val None: BillWitness = object : BillWitness {
            override fun store(bill: NumberedBill): WitnessOutcome = WitnessOutcome.UNREACHABLE

            override fun forget(incarnation: Incarnation, sequence: Long): Unit = Unit

            override fun isMisplaced(bill: NumberedBill): Boolean = false
        }
    }
}
