package io.quetzalfield.model

import kotlinx.serialization.Serializable

/** Kind of change of one statement of the lists. */
@Serializable
public enum class DifferenceKind { ADDED, REMOVED, CHANGED }

/**
 * One statement that differs between two states of the lists.
 *
 * @property path path of the statement, such as `accounts[workshop-tampere].tokensPerMinute`.
 * @property before the previous value; `null` if there was none. Secrets are not shown.
 * @property after the new value; `null` if it was removed. Secrets are not shown.
 */
@Serializable
public data class ListsDifference(
    val kind: DifferenceKind,
    val path: String,
    val before: String? = null,
    val after: String? = null,
)

/** The placeholder for a secret in differences. */
public const val HIDDEN_VALUE: String = "(hidden)"

/** Lists all statements that differ between [before] and [after], ordered by path. */
public fun listsDifferences(before: OperatorLists?, after: OperatorLists?): List<ListsDifference> {
    val previous = before?.let(::statements).orEmpty()
    val current = after?.let(::statements).orEmpty()
    return (previous.keys + current.keys).sorted()
        .mapNotNull { path -> difference(path, previous[path], current[path]) }
}

private fun difference(path: String, before: Statement?, after: Statement?): ListsDifference? {
    if (before == after) return null
    val kind = when {
        before == null -> DifferenceKind.ADDED
        after == null -> DifferenceKind.REMOVED
        else -> DifferenceKind.CHANGED
    }
    return ListsDifference(kind, path, before?.displayValue, after?.displayValue)
}

private data class Statement(val value: String, val isSecret: Boolean = false) {
    val displayValue: String get() = if (isSecret) HIDDEN_VALUE else value
}

private fun statements(lists: OperatorLists): Map<String, Statement> =
    planStatements(lists.plans) + accountStatements(lists.plans) + signingKeyStatements(lists.plans) +
        versionStatements(lists.models) + serviceStatements(lists.models) + permissionStatements(lists.models)

private fun planStatements(list: ClientPlanList): Map<String, Statement> = buildStatements {
    for (plan in list.plans) {
        putStatement("plans[${plan.id}].qualityTarget", plan.qualityTarget)
        putStatement("plans[${plan.id}].priority", plan.priority)
        putStatement("plans[${plan.id}].firstTokenDeadlineMilliseconds", plan.firstTokenDeadlineMilliseconds)
        putStatement("plans[${plan.id}].deadlineMilliseconds", plan.deadlineMilliseconds)
    }
}

private fun accountStatements(list: ClientPlanList): Map<String, Statement> = buildStatements {
    for (account in list.accounts) {
        putStatement("accounts[${account.id}].plan", account.plan)
        putStatement("accounts[${account.id}].tokensPerMinute", account.tokensPerMinute)
        putStatement("accounts[${account.id}].weight", account.weight)
        account.apiKeyHashes.forEach { putStatement("accounts[${account.id}].apiKeyHashes[$it]", "accepted") }
    }
}

private fun signingKeyStatements(list: ClientPlanList): Map<String, Statement> = buildStatements {
    list.signingKeys.forEachIndexed { index, key ->
        putStatement("signingKeys[${key.id}].use", if (index == 0) "signs and verifies" else "verifies")
        put("signingKeys[${key.id}].secret", Statement(key.secret, isSecret = true))
    }
}

private fun versionStatements(list: ModelList): Map<String, Statement> = buildStatements {
    for (model in list.models) {
        for (version in model.versions) {
            val path = "models[${model.id}].versions[${version.id}]"
            putStatement("$path.state", version.state)
            putStatement("$path.costPerThousandTokens", version.costPerThousandTokens)
            putStatement("$path.priorQuality", version.priorQuality)
            version.newSessionShare?.let { putStatement("$path.newSessionShare", it) }
        }
    }
}

private fun serviceStatements(list: ModelList): Map<String, Statement> = buildStatements {
    for (service in list.services) {
        putStatement("services[${service.id}]", "listed")
        service.nonIdempotentOperations.forEach {
            putStatement("services[${service.id}].nonIdempotentOperations[$it]", "runs at most once")
        }
    }
}

private fun permissionStatements(list: ModelList): Map<String, Statement> = buildStatements {
    for (permission in list.permissions) {
        permission.versions.forEach { putStatement("permissions[${permission.plan}].versions[$it]", "allowed") }
        permission.services.forEach { putStatement("permissions[${permission.plan}].services[$it]", "allowed") }
    }
}

private fun buildStatements(build: MutableMap<String, Statement>.() -> Unit): Map<String, Statement> = buildMap(build)

private fun MutableMap<String, Statement>.putStatement(path: String, value: Any) {
    put(path, Statement(value.toString()))
}
