package io.quetzalfield.entry

import io.quetzalfield.decision.HomeScope
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.RequestKey

/** A request key together with the account within which it is unique. */
public data class AccountKey(val account: ClientAccountId, val key: RequestKey)

/**
 * A bill for one answer.
 *
 * @property scope the scope by which the home of the request was chosen.
 */
public data class Bill(
    val account: ClientAccountId,
    val key: RequestKey,
    val tokens: Long,
    val priceMicros: Long,
    val scope: HomeScope = HomeScope(key.value),
) {
    /** The key under which this answer is billed once. */
    public val accountKey: AccountKey get() = AccountKey(account, key)
}

/** A bill with its sequence number among the bills of [incarnation]. */
public data class NumberedBill(val incarnation: Incarnation, val sequence: Long, val bill: Bill)
