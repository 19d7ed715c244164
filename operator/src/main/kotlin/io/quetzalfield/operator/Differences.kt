package io.quetzalfield.operator

import com.github.ajalt.mordant.rendering.TextColors
import io.quetzalfield.model.DifferenceKind
import io.quetzalfield.model.ListsDifference
import io.quetzalfield.model.ListsRevision
import kotlinx.serialization.Serializable

/** How the files differ from the stored lists. */
@Serializable
public data class DifferenceReport(val storedRevision: ListsRevision, val differences: List<ListsDifference>)

/** One coloured line per difference. The terminal library removes colours when the output is not a terminal. */
internal fun List<ListsDifference>.toLines(): List<String> = map { difference ->
    when (difference.kind) {
        DifferenceKind.ADDED -> TextColors.green("+ ${difference.path}: ${difference.after}")

        DifferenceKind.REMOVED -> TextColors.red("- ${difference.path}: ${difference.before}")

        DifferenceKind.CHANGED ->
            TextColors.yellow("~ ${difference.path}: ${difference.before} -> ${difference.after}")
    }
}
