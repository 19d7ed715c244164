package io.quetzalfield.model

import kotlinx.serialization.Serializable

/** Both lists at one revision: the value that is stored, distributed and used for decisions. */
@Serializable
public data class OperatorLists(val revision: ListsRevision, val plans: ClientPlanList, val models: ModelList)

/** An immutable, indexed view of [lists]. The decision on a request uses exactly one snapshot. */
public class ListsSnapshot(public val lists: OperatorLists) {
    private val plansById = lists.plans.plans.associateBy(Plan::id)
    private val accountsById = lists.plans.accounts.associateBy(ClientAccount::id)
    private val accountsByKeyHash = lists.plans.accounts
        .flatMap { account -> account.apiKeyHashes.map { hash -> hash to account } }
        .toMap()
    private val versionsByReference = lists.models.models
        .flatMap { model -> model.versions.map { ModelVersionReference(model.id, it.id) to it } }
        .toMap()
    private val permissionsByPlan = lists.models.permissions.associateBy(PlanPermission::plan)
    private val servicesById = lists.models.services.associateBy(PlainService::id)

    public val revision: ListsRevision get() = lists.revision
    public val signingKeys: List<SigningKey> get() = lists.plans.signingKeys
    public val accounts: Collection<ClientAccount> get() = accountsById.values

    public fun plan(id: PlanId): Plan? = plansById[id]

    public fun account(id: ClientAccountId): ClientAccount? = accountsById[id]

    /** The account that owns the API key with the lower-case hexadecimal SHA-256 digest [hash]. */
    public fun accountByKeyHash(hash: String): ClientAccount? = accountsByKeyHash[hash]

    public fun version(reference: ModelVersionReference): ModelVersion? = versionsByReference[reference]

    public fun hasModel(id: ModelId): Boolean = lists.models.models.any { it.id == id }

    public fun service(id: ServiceId): PlainService? = servicesById[id]

    /** The versions that [plan] may use, regardless of their state. */
    public fun allowedVersions(plan: PlanId): List<ModelVersionReference> = permissionsByPlan[plan]?.versions.orEmpty()

    public fun isServiceAllowed(plan: PlanId, service: ServiceId): Boolean =
        permissionsByPlan[plan]?.services.orEmpty().contains(service)

    public companion object {
        /** The snapshot before any list was applied; it allows nothing. */
        public val Empty: ListsSnapshot =
            ListsSnapshot(OperatorLists(ListsRevision.None, ClientPlanList(), ModelList()))
    }
}
