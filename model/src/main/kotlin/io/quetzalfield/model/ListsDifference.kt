package io.quetzalfield.model

import kotlinx.serialization.Serializable

/** What happened to one statement of the lists. */
@Serializable
public enum class DifferenceKind { ADDED, REMOVED, CHANGED }

/**
 * One statement that differs between two states of the lists.
 *
 * @property path where it stands, such as `accounts[workshop-tampere].tokensPerMinute`.
 * @property before the former value; `null` when there was none. Secrets are not shown.
 * @property after the new value; `null` when there is none any more. Secrets are not shown.
 */
@Serializable
public data class ListsDifference(
    val kind: DifferenceKind,
    val path: String,
    val before: String? = null,
    val after: String? = null,
)

/** The value that stands for a secret in differences. */
public const val HIDDEN_VALUE: String = "(hidden)"

/** All statements that differ between [before] and [after], in the order of their paths. */
public fun listsDifferences(before: OperatorLists?, after: OperatorLists?): List<ListsDifference> {
    val former = before?.let(::statements).orEmpty()
    val next = after?.let(::statements).orEmpty()
    return (former.keys + next.keys).sorted().mapNotNull { path -> difference(path, former[path], next[path]) }
}

private fun difference(path: String, before: Statement?, after: Statement?): ListsDifference? {
    if (before == after) return null
    val kind = when {
        before == null -> DifferenceKind.ADDED
        after == null -> DifferenceKind.REMOVED
        else -> DifferenceKind.CHANGED
    }
    return ListsDifference(kind, path, before?.shown, after?.shown)
}

private data class Statement(val value: String, val isSecret: Boolean = false) {
    val shown: String get() = if (isSecret) HIDDEN_VALUE else value
}

private fun statements(lists: OperatorLists): Map<String, Statement> =
    planStatements(lists.plans) + accountStatements(lists.plans) + signingKeyStatements(lists.plans) +
        versionStatements(lists.models) + serviceStatements(lists.models) + permissionStatements(lists.models)

private fun planStatements(list: ClientPlanList): Map<String, Statement> = buildStatements {
    for (plan in list.plans) {
        state("plans[${plan.id}].qualityTarget", plan.qualityTarget)
        state("plans[${plan.id}].priority", plan.priority)
        state("plans[${plan.id}].firstTokenDeadlineMilliseconds", plan.firstTokenDeadlineMilliseconds)
        state("plans[${plan.id}].deadlineMilliseconds", plan.deadlineMilliseconds)
    }
}

private fun accountStatements(list: ClientPlanList): Map<String, Statement> = buildStatements {
    for (account in list.accounts) {
        state("accounts[${account.id}].plan", account.plan)
        state("accounts[${account.id}].tokensPerMinute", account.tokensPerMinute)
        state("accounts[${account.id}].weight", account.weight)
        account.apiKeyHashes.forEach { state("accounts[${account.id}].apiKeyHashes[$it]", "accepted") }
    }
}

private fun signingKeyStatements(list: ClientPlanList): Map<String, Statement> = buildStatements {
    list.signingKeys.forEachIndexed { index, key ->
        state("signingKeys[${key.id}].use", if (index == 0) "signs and verifies" else "verifies")
        put("signingKeys[${key.id}].secret", Statement(key.secret, isSecret = true))
    }
}

private fun versionStatements(list: ModelList): Map<String, Statement> = buildStatements {
    for (model in list.models) {
        for (version in model.versions) {
            val path = "models[${model.id}].versions[${version.id}]"
            state("$path.state", version.state)
            state("$path.costPerThousandTokens", version.costPerThousandTokens)
            state("$path.priorQuality", version.priorQuality)
            version.newSessionShare?.let { state("$path.newSessionShare", it) }
        }
    }
}

private fun serviceStatements(list: ModelList): Map<String, Statement> = buildStatements {
    for (service in list.services) {
        state("services[${service.id}]", "listed")
        service.nonIdempotentOperations.forEach {
            state("services[${service.id}].nonIdempotentOperations[$it]", "runs at most once")
        }
    }
}

private fun permissionStatements(list: ModelList): Map<String, Statement> = buildStatements {
    for (permission in list.permissions) {
        permission.versions.forEach { state("permissions[${permission.plan}].versions[$it]", "allowed") }
        permission.services.forEach { state("permissions[${permission.plan}].services[$it]", "allowed") }
    }
}

private fun buildStatements(build: MutableMap<String, Statement>.() -> Unit): Map<String, Statement> = buildMap(build)

private fun MutableMap<String, Statement>.state(path: String, value: Any) {
    put(path, Statement(value.toString()))
}
