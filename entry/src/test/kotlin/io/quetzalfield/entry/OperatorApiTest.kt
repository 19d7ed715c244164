package io.quetzalfield.entry

import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.support.startHttpServer
import io.quetzalfield.support.status.statusSection
import kotlinx.serialization.builtins.serializer
import okhttp3.OkHttpClient
import okhttp3.Request
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class OperatorApiTest {
    private val journal = BoundedRequestJournal()
    private val section = statusSection("notes", String.serializer()) { "a<b>c" }
    private val status =
        EntryStatus(Incarnation(InstanceId("entry-1"), "a"), ListsHolder(), journal, listOf(section))
    private val server =
        startHttpServer("127.0.0.1", 0, threads = 32, routes = OperatorApi(status, EntryMetrics())::addRoutes)
    private val client = OkHttpClient()

    @AfterEach
    fun stopServer() {
        server.stop()
    }

    private fun get(path: String): Pair<Int, String> =
        client.newCall(Request.Builder().url("http://127.0.0.1:${server.port()}$path").build()).execute()
            .use { it.code to it.body.string() }

    @Nested
    inner class Status {
        @Test
        fun `the status names the incarnation, the revision and each section`() {
            val (code, body) = get("/operator/status")
            assertEquals(200, code)
            assertContains(body, """"incarnation":{"instance":"entry-1","start":"a"},"listsRevision":0""")
            assertContains(body, """"notes":"a<b>c"""")
        }

        @Test
        fun `the page refreshes itself and shows text as text`() {
            val (_, body) = get("/")
            assertContains(body, """<meta http-equiv="refresh"""")
            assertContains(body, "a&lt;b&gt;c")
            assertFalse("a<b>c" in body)
        }
    }

    @Nested
    inner class Requests {
        private val received =
            RequestEvent.Received(ClientAccountId("w"), PlanId("p"), RequestKey("k"), ListsRevision(1), "general")

        @Test
        fun `a known request is explained`() {
            journal.record(RequestId("r-1"), received)
            assertContains(get("/operator/requests/r-1").second, """"account":"w","plan":"p"""")
            assertContains(get("/operator/requests").second, """{"request":"r-1","account":"w","outcome":"running"}""")
        }

        @Test
        fun `an unknown request is not found`() {
            assertEquals(404, get("/operator/requests/none").first)
        }
    }
}
