package io.quetzalfield.distribution

import io.quetzalfield.standins.CallerClient
import io.quetzalfield.standins.answerWords
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.ChatMessage
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.TestInstance
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholePathTest {
    private lateinit var fleet: SmallFleet

    @BeforeAll
    fun startFleet() {
        fleet = SmallFleet()
    }

    @AfterAll
    fun stopFleet() {
        fleet.close()
    }

    private fun question(text: String, model: String = "auto") = ChatCompletionRequest(
        model = model,
        messages = listOf(ChatMessage("user", text)),
        stream = true,
        maximumTokens = 20,
    )

    @Nested
    inner class Completions {
        @Test
        fun `a streamed answer is complete and billed once`() {
            val request = question("How tight is the screw of needle 3")
            val answer = fleet.caller("entry-1").complete("workshop-key", request)
            assertNull(answer.error)
            assertEquals(answerWords(request).joinToString(""), answer.text)
            assertTrue(answer.isBilled)
            assertEquals("advisor-small@2", answer.version)
        }

        @Test
        fun `the same key at the same entry is billed once`() {
            val request = question("Which oil does needle 5 take")
            val caller = fleet.caller("entry-1")
            val first = caller.complete("workshop-key", request, key = "key-1")
            val second = caller.complete("workshop-key", request, key = "key-1")
            assertEquals(listOf(true, false), listOf(first.isBilled, second.isBilled))
        }

        @Test
        fun `the same key at another entry gets the same answer and is not billed again`() {
            val request = question("Which spring does needle 6 take")
            val answers = listOf("entry-1", "entry-2", "entry-1").map { entry ->
                fleet.caller(entry).complete("workshop-key", request, key = "key-2")
            }
            assertEquals(listOf(null, null, null), answers.map { it.error })
            assertEquals(1, answers.map { it.text }.distinct().size)
            assertEquals(listOf(true, false, false), answers.map { it.isBilled })
        }

        @Test
        fun `a session keeps its version at every entry`() {
            val token = fleet.caller("entry-1").openSessionToken("grower-key", "watering-plan")
            val versions = listOf("entry-1", "entry-2").map { entry ->
                fleet.caller(entry).complete("grower-key", question("Plan my ferns"), session = token).version
            }
            assertEquals(listOf<String?>("advisor-large@2", "advisor-large@2"), versions)
        }
    }

    @Nested
    inner class Refusals {
        private fun refusal(apiKey: String?, body: String, path: String = "/v1/chat/completions"): String =
            fleet.caller("entry-1").post(path, apiKey, body).body

        @Test
        fun `each wrong request gets a typed error that says it did not run`() {
            val message = """"messages":[{"role":"user","content":"hello"}]"""
            val cases = mapOf(
                "missing_api_key" to refusal(null, "{}"),
                "unknown_api_key" to refusal("nobody", "{}"),
                "malformed_body" to refusal("workshop-key", "{"),
                "oversized_body" to refusal("workshop-key", "x".repeat(1_100_000)),
                "unknown_model" to refusal("workshop-key", """{"model":"none",$message}"""),
                "unknown_version" to refusal("workshop-key", """{"model":"advisor-small@9",$message}"""),
                "not_allowed_by_plan" to refusal("workshop-key", """{"model":"advisor-large",$message}"""),
                "unknown_service" to refusal("workshop-key", "{}", "/v1/services/none/book"),
                "missing_idempotency_key" to refusal("workshop-key", "{}", "/v1/services/bookings/book"),
            )
            for ((code, body) in cases) {
                assertContains(body, """"code":"$code"""")
                assertContains(body, """"ran":"no"""")
            }
        }
    }

    @Nested
    inner class Services {
        private fun runCount(body: String): Int =
            CallerClient(checkNotNull(fleet.addressOf("service-1"))).get("/runs").body.split(body).size - 1

        @Test
        fun `a ticket runs its booking once, whichever entry gets it`() {
            val ticket = fleet.caller("entry-1").mintTicket("workshop-key")
            val replies = listOf("entry-1", "entry-1", "entry-2").map { entry ->
                fleet.caller(entry).callService("workshop-key", "bookings", "book", ticket, "needle-17")
            }
            assertEquals(listOf(200, 200, 200), replies.map { it.status })
            assertEquals(1, replies.map { it.body }.distinct().size)
            assertEquals(1, runCount("needle-17"))
        }

        @Test
        fun `a booking under the caller's key runs once, whichever entry gets it`() {
            val headers = mapOf("Idempotency-Key" to "booking-18")
            val replies = listOf("entry-1", "entry-2", "entry-1").map { entry ->
                fleet.caller(entry).post("/v1/services/bookings/book", "workshop-key", "needle-18", headers)
            }
            assertEquals(listOf(200, 200, 200), replies.map { it.status })
            assertEquals(1, replies.map { it.body }.distinct().size)
            assertEquals(1, runCount("needle-18"))
        }
    }

    @Nested
    inner class Logs {
        private fun lines(process: String): List<String> =
            fleet.processes.log(process).lines().filter(String::isNotBlank)

        @Test
        fun `every line is JSON with time, level and message`() {
            val lines = listOf("entry-1", "entry-2", "steward-1").flatMap(::lines)
            val keys = lines.map { Json.parseToJsonElement(it).jsonObject.keys }
            assertTrue(keys.isNotEmpty() && keys.all { it.containsAll(listOf("time", "level", "message")) })
        }

        @Test
        fun `requests write no lines`() {
            val before = lines("entry-1").size
            repeat(5) { fleet.caller("entry-1").complete("workshop-key", question("How old is needle $it")) }
            assertEquals(before, lines("entry-1").size)
        }
    }
}
