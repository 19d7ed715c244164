package io.quetzalfield.store.bills

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.PlatformJson
import kotlinx.serialization.Serializable

/** The prefix of the keys that hold what each client account owes for incarnations that have ended. */
public const val ACCOUNT_BILL_PREFIX: String = "bills/accounts/"

/**
 * What a client account owes for the answers of incarnations that have ended. What running incarnations have billed
 * stands in their cells.
 *
 * @property folded the incarnations that [totals] contains and whose cells still exist.
 */
@Serializable
public data class AccountBill(val totals: BillTotals = BillTotals(), val folded: Set<Incarnation> = emptySet()) {
    /** This bill with what [incarnation] has billed; the same bill when that was added before. */
    public fun fold(incarnation: Incarnation, added: BillTotals): AccountBill =
        if (incarnation in folded) this else AccountBill(totals + added, folded + incarnation)

    /** The stored form. */
    public fun toJson(): String = PlatformJson.encodeToString(serializer(), this)

    public companion object {
        /** Reads what [toJson] writes. */
        public fun fromJson(json: String): AccountBill = PlatformJson.decodeFromString(serializer(), json)
    }
}

/** The key of the bill of [account]. */
public fun accountBillKey(account: ClientAccountId): String = ACCOUNT_BILL_PREFIX + account.value
