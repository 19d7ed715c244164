package io.quetzalfield.distribution

import io.quetzalfield.standins.CallerClient
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.ChatMessage
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNull

private val RUNNERS = listOf("runner-1", "runner-2", "runner-3", "runner-4")

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CrashingRequestTest {
    private lateinit var fleet: SmallFleet

    @BeforeAll
    fun startFleet() {
        fleet = SmallFleet()
        fleet.startRunner("runner-4", "domain-1", "advisor-small@2")
        await("the fourth runner is listed") { fleet.addressOf("runner-4") != null }
        RUNNERS.forEach { setCrashingPrompt(checkNotNull(fleet.addressOf(it))) }
    }

    @AfterAll
    fun stopFleet() {
        fleet.close()
    }

    private fun setCrashingPrompt(address: String) {
        val body = """{"crashOnText":"poison"}""".toRequestBody("application/json".toMediaType())
        OkHttpClient().newCall(Request.Builder().url("$address/faults").post(body).build()).execute().close()
    }

    private fun body(text: String): String =
        """{"model":"advisor-small@2","max_tokens":5,"messages":[{"role":"user","content":"$text"}]}"""

    private fun callers(): List<CallerClient> = listOf("entry-1", "entry-2").map(fleet::caller)

    @Test
    fun `a request that crashes runners costs two of them at most, whichever entries its caller uses`() {
        val answers = List(6) { number ->
            callers()[number % 2].post("/v1/chat/completions", "workshop-key", body("poison")).body
        }
        assertEquals(2, RUNNERS.count { !fleet.processes.process(it).isAlive }, "$answers")
        assertContains(answers.last(), "request_crashes_runners")
        val innocent = ChatCompletionRequest(
            model = "advisor-small@2",
            messages = listOf(ChatMessage("user", "innocent")),
            stream = true,
            maximumTokens = 5,
        )
        assertNull(fleet.caller("entry-2").complete("workshop-key", innocent).error)
    }
}
