package io.quetzalfield.forwarding.crashes

import io.quetzalfield.forwarding.endpoints.EndpointDescription
import io.quetzalfield.forwarding.endpoints.EndpointDirectory
import io.quetzalfield.forwarding.endpoints.EndpointId
import io.quetzalfield.forwarding.http.ConnectionTrace
import io.quetzalfield.model.HostPort
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.VersionId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource

class LossWatchTest {
    private val time = TestTimeSource()
    private val directory = EndpointDirectory(time)
    private val entry = EndpointDescription(
        id = EndpointId("runner-1"),
        service = ServiceId("shop"),
        address = HostPort("10.0.0.1", 80),
        failureDomain = "a",
        version = VersionId("v1"),
        capacity = 1,
        start = 1,
    )

    private fun watch(callHadBegun: Boolean = false): LossWatch {
        directory.update(entry)
        val endpoint = checkNotNull(directory.find(entry.id))
        return LossWatch(endpoint, time.markNow(), CrashRules(), callHadBegun)
    }

    private fun LossWatch.verdict(broken: Int = 0, open: Int = 0, after: Duration = 300.milliseconds): LossVerdict {
        time += after
        return verdict(time.markNow(), ConnectionTrace(broken, open))
    }

    @Nested
    inner class Entry {
        @Test
        fun `with another start shows the end, also seconds later`() {
            val watch = watch()
            assertEquals(LossVerdict.OPEN, watch.verdict(after = 5.seconds))
            directory.update(entry.copy(start = 2))
            assertEquals(LossVerdict.ENDED, watch.verdict())
        }

        @Test
        fun `that is gone shows the end unless it returns`() {
            val watch = watch()
            directory.remove(entry.id)
            assertEquals(LossVerdict.OPEN, watch.verdict(after = 1.seconds))
            directory.update(entry)
            assertEquals(LossVerdict.OPEN, watch.verdict(after = 2.seconds))
            directory.remove(entry.id)
            assertEquals(LossVerdict.ENDED, watch.verdict(after = 2.seconds))
        }

        @Test
        fun `that is gone shows the end at once beside a refusal`() {
            val watch = watch().apply { isRefusing = true }
            directory.remove(entry.id)
            assertEquals(LossVerdict.BROKEN_OFF, watch.verdict())
        }

        @Test
        fun `that announces the end, or stays, shows no crash`() {
            val leaving = watch()
            directory.update(entry.copy(isLeaving = true))
            assertEquals(LossVerdict.UNDECIDED, leaving.verdict())
            directory.update(entry.copy(start = 2))
            assertEquals(LossVerdict.UNDECIDED, watch().verdict(after = 10.seconds))
        }
    }

    @Nested
    inner class Connections {
        @Test
        fun `that all break at once beside a refusal show the end`() =
            assertEquals(LossVerdict.BROKEN_OFF, watch().apply { isRefusing = true }.verdict(broken = 1))

        @Test
        fun `show no end if that of the call alone broke`() {
            assertEquals(LossVerdict.OPEN, watch().apply { isRefusing = true }.verdict(broken = 0))
            val begun = watch(callHadBegun = true).apply { isRefusing = true }
            assertEquals(LossVerdict.OPEN, begun.verdict(broken = 1))
            assertEquals(LossVerdict.BROKEN_OFF, begun.verdict(broken = 2))
        }

        @Test
        fun `show no end if one stays open or new ones are accepted`() {
            assertEquals(LossVerdict.OPEN, watch().apply { isRefusing = true }.verdict(broken = 3, open = 1))
            assertEquals(LossVerdict.OPEN, watch().verdict(broken = 3))
        }
    }
}
