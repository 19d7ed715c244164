package io.quetzalfield.model

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class ListsDifferenceTest {
    private val version = ModelVersion(VersionId("1"), costPerThousandTokens = 1.0, priorQuality = 0.9)
    private val plan = Plan(PlanId("bench"), qualityTarget = 0.8)
    private val account = ClientAccount(ClientAccountId("workshop"), plan.id, emptyList(), tokensPerMinute = 100)
    private val keys = listOf(SigningKey("new", "secret-a"), SigningKey("old", "secret-b"))
    private val reference = ModelVersionReference(ModelId("small"), VersionId("1"))
    private val lists = OperatorLists(
        ListsRevision(1),
        ClientPlanList(listOf(plan), listOf(account), keys),
        ModelList(
            models = listOf(Model(ModelId("small"), listOf(version))),
            permissions = listOf(PlanPermission(plan.id, listOf(reference))),
        ),
    )

    private fun withPlans(change: (ClientPlanList) -> ClientPlanList) = lists.copy(plans = change(lists.plans))

    private fun withModels(change: (ModelList) -> ModelList) = lists.copy(models = change(lists.models))

    private fun differences(after: OperatorLists) = listsDifferences(lists, after)
        .map { "${it.kind} ${it.path} ${it.before} ${it.after}" }

    @Nested
    inner class Statements {
        @Test
        fun `each changed statement gives one difference`() {
            val cases = mapOf(
                "CHANGED plans[bench].qualityTarget 0.8 0.9" to
                    withPlans { it.copy(plans = listOf(plan.copy(qualityTarget = 0.9))) },
                "CHANGED accounts[workshop].tokensPerMinute 100 50" to
                    withPlans { it.copy(accounts = listOf(account.copy(tokensPerMinute = 50))) },
                "ADDED accounts[workshop].apiKeyHashes[aa] null accepted" to
                    withPlans { it.copy(accounts = listOf(account.copy(apiKeyHashes = listOf("aa")))) },
                "CHANGED models[small].versions[1].state SERVING WITHDRAWN" to withModels {
                    it.copy(
                        models = listOf(Model(ModelId("small"), listOf(version.copy(state = VersionState.WITHDRAWN)))),
                    )
                },
                "REMOVED permissions[bench].versions[small@1] allowed null" to
                    withModels { it.copy(permissions = emptyList()) },
                "ADDED services[bookings] null listed" to
                    withModels { it.copy(services = listOf(PlainService(ServiceId("bookings")))) },
            )
            for ((expected, after) in cases) assertEquals(listOf(expected), differences(after))
        }

        @Test
        fun `lists that differ only in their revision have no differences`() {
            assertEquals(emptyList(), differences(lists.copy(revision = ListsRevision(9))))
        }

        @Test
        fun `the first lists give only additions`() {
            assertEquals(setOf(DifferenceKind.ADDED), listsDifferences(null, lists).map { it.kind }.toSet())
        }
    }

    @Nested
    inner class SigningKeys {
        @Test
        fun `a change of the key order shows which key signs`() {
            val rotated = withPlans { it.copy(signingKeys = keys.reversed()) }
            val expected = listOf(
                "CHANGED signingKeys[new].use signs and verifies verifies",
                "CHANGED signingKeys[old].use verifies signs and verifies",
            )
            assertEquals(expected, differences(rotated))
        }

        @Test
        fun `a changed secret is reported as changed without its value`() {
            val changed = withPlans { it.copy(signingKeys = listOf(keys[0].copy(secret = "secret-c"), keys[1])) }
            assertEquals(listOf("CHANGED signingKeys[new].secret (hidden) (hidden)"), differences(changed))
            assertFalse("secret-" in "${listsDifferences(null, changed)}")
        }
    }
}
