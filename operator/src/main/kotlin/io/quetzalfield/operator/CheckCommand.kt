package io.quetzalfield.operator

import com.github.ajalt.clikt.parameters.groups.provideDelegate
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.support.SettingsError
import kotlinx.serialization.Serializable

/** The result of `check` as JSON. */
@Serializable
private data class CheckReport(val isRight: Boolean, val errors: List<String> = emptyList())

/** Checks the two files without connecting to a platform. */
internal class CheckCommand : OperatorCommand("check", "Check the lists; exit code 2 when they cannot be applied") {
    private val lists by ListsOptions()

    override fun run() {
        val errors = lists.files.load(ListsRevision.None).fold({ it.map(SettingsError::toString) }, { emptyList() })
        if (isJson || errors.isEmpty()) {
            report(CheckReport.serializer(), CheckReport(errors.isEmpty(), errors)) { listOf("the lists are right") }
        }
        if (errors.isNotEmpty()) fail(ExitCode.LISTS_REFUSED, if (isJson) emptyList() else errors)
    }
}
