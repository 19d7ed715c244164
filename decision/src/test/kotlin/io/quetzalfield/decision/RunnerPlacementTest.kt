package io.quetzalfield.decision

import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.Model
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.VersionId
import io.quetzalfield.model.VersionState
import kotlin.test.Test
import kotlin.test.assertEquals

class RunnerPlacementTest {
    private fun version(number: Int) = ModelVersionReference(ModelId("advisor"), VersionId("$number"))

    private fun snapshot(vararg states: VersionState): ListsSnapshot {
        val versions = states.mapIndexed { index, state -> ModelVersion(VersionId("${index + 1}"), state, 1.0, 0.9) }
        val models = ModelList(listOf(Model(ModelId("advisor"), versions)))
        return ListsSnapshot(OperatorLists(ListsRevision(1), ClientPlanList(), models))
    }

    private fun place(snapshot: ListsSnapshot, vararg loaded: Set<Int>): List<Set<Int>> {
        val runners = loaded.mapIndexed { index, numbers ->
            RunnerId("runner-$index") to numbers.map(::version)
        }.toMap()
        val placed = placeVersions(snapshot, runners)
        assertEquals(placed, placeVersions(snapshot, placed), "placing again changes nothing")
        return runners.keys.map { id -> placed.getValue(id).map { it.version.value.toInt() }.toSet() }
    }

    @Test
    fun `runners keep their allowed versions, and missing versions are added`() {
        val serving = VersionState.SERVING
        val cases = mapOf(
            "as wanted" to (listOf(setOf(1), setOf(2)) to place(snapshot(serving, serving), setOf(1), setOf(2))),
            "withdrawn" to
                (listOf(setOf(1), setOf()) to place(snapshot(serving, VersionState.WITHDRAWN), setOf(1), setOf(2))),
            "draining" to
                (listOf(setOf(1), setOf(2)) to place(snapshot(serving, VersionState.DRAINING), setOf(1), setOf(2))),
            "unknown" to (listOf(setOf(1)) to place(snapshot(serving), setOf(1, 9))),
            "missing" to
                (listOf(setOf(1, 2), setOf(3)) to place(snapshot(serving, serving, serving), setOf(1, 2), setOf())),
        )
        for ((case, result) in cases) assertEquals(result.first, result.second, case)
    }
}
