package io.quetzalfield.model

/**
 * One reason why the lists cannot be applied.
 *
 * @property path path of the faulty statement, such as `plans[bench].qualityTarget`.
 * @property found the invalid value.
 * @property allowed description of the valid values.
 */
public data class ListsFault(val path: String, val found: String, val allowed: String) {
    override fun toString(): String = "$path is $found; allowed: $allowed"
}

private const val MINIMUM_SECRET_LENGTH = 32
private val SHA256_HEXADECIMAL = Regex("[0-9a-f]{64}")

/** Returns all faults of [lists]; an empty result means that they may be applied. */
public fun validateLists(lists: OperatorLists): List<ListsFault> =
    planFaults(lists) + accountFaults(lists) + signingKeyFaults(lists) + versionFaults(lists) + permissionFaults(lists)

private fun planFaults(lists: OperatorLists): List<ListsFault> = buildList {
    addAll(duplicateFaults("plans", lists.plans.plans.map { it.id.value }))
    for (plan in lists.plans.plans) {
        val path = "plans[${plan.id}]"
        addAll(shareFaults("$path.qualityTarget", plan.qualityTarget))
        addAll(positiveFaults("$path.firstTokenDeadlineMilliseconds", plan.firstTokenDeadlineMilliseconds))
        addAll(positiveFaults("$path.deadlineMilliseconds", plan.deadlineMilliseconds))
    }
}

private fun accountFaults(lists: OperatorLists): List<ListsFault> = buildList {
    val planIds = lists.plans.plans.map(Plan::id)
    addAll(duplicateFaults("accounts", lists.plans.accounts.map { it.id.value }))
    addAll(duplicateFaults("accounts.apiKeyHashes", lists.plans.accounts.flatMap(ClientAccount::apiKeyHashes)))
    for (account in lists.plans.accounts) {
        val path = "accounts[${account.id}]"
        if (account.plan !in planIds) add(ListsFault("$path.plan", account.plan.value, "one of $planIds"))
        if (account.tokensPerMinute < 0) {
            add(ListsFault("$path.tokensPerMinute", "${account.tokensPerMinute}", "0 or more"))
        }
        if (!(account.weight > 0)) add(ListsFault("$path.weight", "${account.weight}", "more than 0"))
        for (hash in account.apiKeyHashes.filterNot(SHA256_HEXADECIMAL::matches)) {
            add(ListsFault("$path.apiKeyHashes", hash, "64 lower-case hexadecimal digits"))
        }
    }
}

private fun signingKeyFaults(lists: OperatorLists): List<ListsFault> = buildList {
    val keys = lists.plans.signingKeys
    if (keys.isEmpty()) add(ListsFault("signingKeys", "empty", "at least one key"))
    addAll(duplicateFaults("signingKeys", keys.map(SigningKey::id)))
    for (key in keys.filter { it.secret.length < MINIMUM_SECRET_LENGTH }) {
        add(
            ListsFault(
                path = "signingKeys[${key.id}].secret",
                found = "${key.secret.length} characters long",
                allowed = "$MINIMUM_SECRET_LENGTH characters or more",
            ),
        )
    }
}

private fun versionFaults(lists: OperatorLists): List<ListsFault> = buildList {
    addAll(duplicateFaults("models", lists.models.models.map { it.id.value }))
    for (model in lists.models.models) {
        addAll(duplicateFaults("models[${model.id}].versions", model.versions.map { it.id.value }))
        for (version in model.versions) {
            val path = "models[${model.id}].versions[${version.id}]"
            if (!(version.costPerThousandTokens >= 0)) {
                add(ListsFault("$path.costPerThousandTokens", "${version.costPerThousandTokens}", "0 or more"))
            }
            addAll(shareFaults("$path.priorQuality", version.priorQuality))
            version.newSessionShare?.let { addAll(shareFaults("$path.newSessionShare", it)) }
        }
    }
}

private fun permissionFaults(lists: OperatorLists): List<ListsFault> = buildList {
    val snapshot = ListsSnapshot(lists)
    val planIds = lists.plans.plans.map(Plan::id)
    addAll(duplicateFaults("permissions", lists.models.permissions.map { it.plan.value }))
    for (permission in lists.models.permissions) {
        val path = "permissions[${permission.plan}]"
        if (permission.plan !in planIds) add(ListsFault("$path.plan", permission.plan.value, "one of $planIds"))
        for (reference in permission.versions.filter { snapshot.version(it) == null }) {
            add(ListsFault("$path.versions", "$reference", "a version that the models list"))
        }
        for (service in permission.services.filter { snapshot.service(it) == null }) {
            add(ListsFault("$path.services", "$service", "a service that the list names"))
        }
    }
    for (plan in planIds.filterNot { hasServingVersion(snapshot, it) }) {
        add(ListsFault("permissions[$plan].versions", "without a serving version", "at least one serving version"))
    }
}

private fun hasServingVersion(snapshot: ListsSnapshot, plan: PlanId): Boolean =
    snapshot.allowedVersions(plan).any { snapshot.version(it)?.state == VersionState.SERVING }

private fun duplicateFaults(path: String, values: List<String>): List<ListsFault> = values.groupingBy { it }.eachCount()
    .filterValues { it > 1 }
    .map { (value, count) -> ListsFault(path, "$value $count times", "each value once") }

private fun shareFaults(path: String, value: Double): List<ListsFault> =
    if (value in 0.0..1.0) emptyList() else listOf(ListsFault(path, "$value", "a share from 0 to 1"))

private fun positiveFaults(path: String, value: Long): List<ListsFault> =
    if (value > 0) emptyList() else listOf(ListsFault(path, "$value", "more than 0"))
