package io.quetzalfield.distribution

import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.SigningKey
import io.quetzalfield.model.VersionState

internal fun OperatorLists.withVersion(name: String, edit: (ModelVersion) -> ModelVersion): OperatorLists {
    val reference = checkNotNull(ModelVersionReference.parse(name))
    val edited = models.models.map { model ->
        if (model.id != reference.model) return@map model
        model.copy(versions = model.versions.map { if (it.id == reference.version) edit(it) else it })
    }
    return copy(models = models.copy(models = edited))
}

internal fun OperatorLists.withdrawing(name: String): OperatorLists =
    withVersion(name) { it.copy(state = VersionState.WITHDRAWN) }

/** Adds a new signing key in first place and keeps only the previous first key after it. */
internal fun OperatorLists.withNewSigningKey(): OperatorLists {
    val key = SigningKey("key-$revision", "secret of revision $revision".padEnd(32, '.'))
    return copy(plans = plans.copy(signingKeys = listOf(key) + plans.signingKeys.take(1)))
}

/** Increases the allowance of each account and changes nothing else. */
internal fun OperatorLists.withMoreAllowance(): OperatorLists = copy(
    plans = plans.copy(accounts = plans.accounts.map { it.copy(tokensPerMinute = it.tokensPerMinute + 1) }),
)

/** Increases the weight of each account and changes nothing else. */
internal fun OperatorLists.withMoreWeight(): OperatorLists = copy(
    plans = plans.copy(accounts = plans.accounts.map { it.copy(weight = it.weight + 1) }),
)
