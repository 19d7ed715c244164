package io.quetzalfield.store.bills

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.store.PlatformJson
import kotlinx.serialization.Serializable

/** The prefix of the keys with the amounts that each client account owes for ended incarnations. */
public const val ACCOUNT_BILL_PREFIX: String = "bills/accounts/"

/**
 * The amounts that a client account owes for the answers of ended incarnations. The amounts of running incarnations
 * are in their bill cells.
 *
 * @property folded the incarnations that [totals] includes and whose cells still exist.
 */
@Serializable
public data class AccountBill(val totals: BillTotals = BillTotals(), val folded: Set<Incarnation> = emptySet()) {
    /** Returns this bill including the totals of [incarnation]; unchanged if they are already included. */
    public fun fold(incarnation: Incarnation, added: BillTotals): AccountBill =
        if (incarnation in folded) this else AccountBill(totals + added, folded + incarnation)

    /** Encodes this bill for the store. */
    public fun toJson(): String = PlatformJson.encodeToString(serializer(), this)

    public companion object {
        /** Decodes the output of [toJson]. */
        public fun fromJson(json: String): AccountBill = PlatformJson.decodeFromString(serializer(), json)
    }
}

/** The key of the bill of [account]. */
public fun accountBillKey(account: ClientAccountId): String = ACCOUNT_BILL_PREFIX + account.value
