package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

private val Service = ServiceId("advisor")

internal fun description(
    id: String,
    port: Int = 1,
    isLeaving: Boolean = false,
    start: Long = 1,
    version: String = "v1",
    capacity: Int = 4,
) = EndpointDescription(
    id = EndpointId(id),
    service = Service,
    address = HostPort("127.0.0.1", port),
    failureDomain = "a",
    version = VersionId(version),
    capacity = capacity,
    isLeaving = isLeaving,
    start = start,
)

class EndpointDirectoryTest {
    private val timeSource = TestTimeSource()
    private val directory = EndpointDirectory(timeSource)

    private fun eligible() = directory.eligible(Service).map { it.id.value }

    private fun lastResort() = directory.lastResort(Service).map { it.id.value }

    @Nested
    inner class Leaving {
        @Test
        fun `an endpoint that is leaving gets no new work`() {
            directory.update(description("one"))
            assertEquals(EndpointChange.LEAVING, directory.update(description("one", isLeaving = true)))
            assertEquals(emptyList(), eligible())
        }

        @Test
        fun `an older entry that arrives late does not make it eligible again`() {
            directory.update(description("one", isLeaving = true))
            directory.update(description("one"))
            assertEquals(emptyList(), eligible())
        }

        @Test
        fun `a new start under the same id is another endpoint`() {
            directory.update(description("one", isLeaving = true))
            assertEquals(EndpointChange.RESTARTED, directory.update(description("one", start = 2)))
            assertEquals(listOf("one"), eligible())
        }
    }

    /** Load pattern: a failure domain is emptied while its endpoints run requests, and comes back cold. */
    @Nested
    inner class Evacuation {
        private fun evacuate(vararg domains: String) =
            directory.evacuate(domains.mapTo(HashSet(), ::FailureDomainId)) { 3.seconds }

        @Test
        fun `an endpoint of an evacuated domain gets no new work, also as a last resort`() {
            directory.update(description("one"))
            val endpoint = checkNotNull(directory.find(EndpointId("one")))
            evacuate("a")
            assertEquals(emptyList(), eligible())
            assertEquals(false, directory.isUsable(endpoint))
            directory.remove(EndpointId("one"))
            assertEquals(emptyList(), lastResort())
        }

        @Test
        fun `an endpoint that appears in an evacuated domain gets no work`() {
            evacuate("a")
            directory.update(description("one"))
            directory.update(description("one", start = 2))
            assertEquals(emptyList(), eligible())
            assertEquals(true, directory.isEvacuated(Service))
        }

        @Test
        fun `other domains go on`() {
            directory.update(description("one"))
            evacuate("b")
            assertEquals(listOf("one"), eligible())
            assertEquals(false, directory.isEvacuated(Service))
        }

        @Test
        fun `the endpoints of a domain that is taken back are cold for the time of a start`() {
            directory.update(description("one"))
            evacuate("a")
            evacuate()
            val endpoint = checkNotNull(directory.find(EndpointId("one")))
            assertEquals(listOf("one"), eligible())
            directory.update(description("one"))
            assertEquals(true, endpoint.isColdAt(timeSource.markNow() + 2_999.milliseconds))
            assertEquals(false, endpoint.isColdAt(timeSource.markNow() + 3.seconds))
        }
    }

    @Nested
    inner class Vanishing {
        @Test
        fun `a vanished endpoint is a last resort for a limited time`() {
            directory.update(description("one"))
            directory.remove(EndpointId("one"))
            assertEquals(emptyList(), eligible())
            assertEquals(listOf("one"), lastResort())
            timeSource += EndpointDirectory.ReturnGrace + 1.milliseconds
            assertEquals(emptyList(), lastResort())
        }

        @Test
        fun `an endpoint whose entry returns is used again`() {
            directory.update(description("one"))
            directory.remove(EndpointId("one"))
            assertEquals(EndpointChange.RETURNED, directory.update(description("one")))
            assertEquals(listOf("one"), eligible())
        }

        @Test
        fun `an endpoint whose entry is missing from a listing has vanished`() {
            directory.update(description("one"))
            directory.update(description("two", port = 2))
            assertEquals(listOf(EndpointId("one")), directory.retainOnly(setOf(EndpointId("two"))))
            assertEquals(listOf("two"), eligible())
        }
    }
}
