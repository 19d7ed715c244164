package io.quetzalfield.forwarding.endpoints

import io.quetzalfield.model.HostPort
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

private val Service = ServiceId("advisor")

internal fun description(
    id: String,
    port: Int = 1,
    isLeaving: Boolean = false,
    start: Long = 1,
    version: String = "v1",
) = EndpointDescription(
    id = EndpointId(id),
    service = Service,
    address = HostPort("127.0.0.1", port),
    failureDomain = "a",
    version = VersionId(version),
    capacity = 4,
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
        fun `an endpoint that leaves gets nothing more`() {
            directory.update(description("one"))
            assertEquals(EndpointChange.LEAVING, directory.update(description("one", isLeaving = true)))
            assertEquals(emptyList(), eligible())
        }

        @Test
        fun `an older entry that arrives late does not bring it back`() {
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

    @Nested
    inner class Vanishing {
        @Test
        fun `a vanished endpoint is a last resort for a while only`() {
            directory.update(description("one"))
            directory.remove(EndpointId("one"))
            assertEquals(emptyList(), eligible())
            assertEquals(listOf("one"), lastResort())
            timeSource += EndpointDirectory.ReturnGrace + 1.milliseconds
            assertEquals(emptyList(), lastResort())
        }

        @Test
        fun `an entry that comes back is used again`() {
            directory.update(description("one"))
            directory.remove(EndpointId("one"))
            assertEquals(EndpointChange.RETURNED, directory.update(description("one")))
            assertEquals(listOf("one"), eligible())
        }

        @Test
        fun `a listing without the entry is its end`() {
            directory.update(description("one"))
            directory.update(description("two", port = 2))
            assertEquals(listOf(EndpointId("one")), directory.retain(setOf(EndpointId("two"))))
            assertEquals(listOf("two"), eligible())
        }
    }
}
