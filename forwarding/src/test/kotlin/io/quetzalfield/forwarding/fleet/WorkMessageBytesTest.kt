package io.quetzalfield.forwarding.fleet

import io.quetzalfield.forwarding.choice.HeldSessions
import io.quetzalfield.forwarding.crashes.BlameReport
import io.quetzalfield.forwarding.crashes.CrashCandidate
import io.quetzalfield.forwarding.crashes.CrashNews
import io.quetzalfield.forwarding.crashes.CrashSuspect
import io.quetzalfield.forwarding.crashes.LossReport
import io.quetzalfield.forwarding.crashes.ProofReport
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.RequestFingerprint
import io.quetzalfield.model.RunnerId
import io.quetzalfield.model.ServiceId
import io.quetzalfield.store.StoreRevision
import java.util.HexFormat
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards the datagrams between instances of different builds: the format numbers the fields by their order in the class
 * and writes enum entries by ordinal, so a reordered, inserted or retyped field would be read as another one. The bytes
 * were written by commit 071ff2b.
 */
class WorkMessageBytesTest {
    private val sender = Incarnation(InstanceId("front-1"), "start-7")
    private val work = listOf(
        EndpointWork("runner-1", running = 3, unreadTokens = 500),
        EndpointWork("runner-2", running = 0, unreadTokens = 0),
        EndpointWork("runner-3", running = 130, unreadTokens = 5_000_000_000),
    )
    private val held = listOf(
        HeldSessions(
            ServiceId("advisor"),
            orderRevision = StoreRevision(7),
            listOf(1, -1, Long.MIN_VALUE, Long.MAX_VALUE),
        ),
        HeldSessions(ServiceId("shop"), orderRevision = StoreRevision(300), emptyList()),
    )

    private fun assertBytes(hexadecimal: String, message: WorkMessage) {
        val bytes = HexFormat.of().parseHex(hexadecimal)
        assertEquals(message, WorkMessage.decode(bytes))
        assertEquals(hexadecimal, HexFormat.of().formatHex(message.encode()))
    }

    @Test
    fun `a message without work`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "1001",
        WorkMessage(sender, number = 1),
    )

    @Test
    fun `a message without work of an instance that is leaving`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "1002" +
            "2001",
        WorkMessage(sender, number = 2, isLeaving = true),
    )

    @Test
    fun `the sender's own work at several endpoints`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "10ac02" +
            "1a0f0a0872756e6e65722d31100318f403" +
            "1a0e0a0872756e6e65722d3210001800" +
            "1a130a0872756e6e65722d331082011880e497d012",
        WorkMessage(sender, number = 300, work, scope = WorkScope.OWN),
    )

    @Test
    fun `the work of a group`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "1004" +
            "1a0f0a0872756e6e65722d31100318f403" +
            "2801",
        WorkMessage(sender, number = 4, work.take(1), scope = WorkScope.GROUP),
    )

    @Test
    fun `the work of the fleet`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "1005" +
            "1a0f0a0872756e6e65722d31100318f403" +
            "2802",
        WorkMessage(sender, number = 5, work.take(1), scope = WorkScope.FLEET),
    )

    @Test
    fun `held sessions`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "1006" +
            "322d0a0761647669736f721007180118ffffffffffffffffff01188080808080808080800118ffffffffffffffff7f" +
            "32090a0473686f7010ac02",
        WorkMessage(sender, number = 6, held = held),
    )

    /** Written by the build that added the field, which older builds skip. */
    @Test
    fun `limits of endpoints`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "1007" +
            "3a1c0a0872756e6e65722d311080d095ffbc31199a9999999999f13f2014" +
            "3a170a0872756e6e65722d3210001900000000000000002000" +
            "3a0f0a0872756e6e65722d33100520ac02",
        WorkMessage(
            sender,
            number = 7,
            limits = listOf(
                LimitReport("runner-1", start = 1_700_000_000_000, requestsPerSecond = 1.1, ageMilliseconds = 20),
                LimitReport("runner-2", start = 0, requestsPerSecond = 0.0, ageMilliseconds = 0),
                LimitReport("runner-3", start = 5, ageMilliseconds = 300),
            ),
        ),
    )

    /** Written by the build that added the field, which older builds skip. */
    @Test
    fun `news of crashes`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "1008" +
            "42620a2a0a0a72756e6e65722d3140351014180122120a04306131621202356512043530623118" +
            "0122040a02306312070a02356510ac021a190a09706172743a35306231120a72756e6e65722d31" +
            "403518001a100a0a726571756573743a306318072001",
        WorkMessage(
            sender,
            number = 8,
            crashes = CrashNews(
                losses = listOf(
                    LossReport(
                        RunnerId("runner-1@5"),
                        ageMilliseconds = 20,
                        isConfirmed = true,
                        candidates = listOf(
                            CrashCandidate(RequestFingerprint("0a1b"), listOf("5e", "50b1"), hasBegun = true),
                            CrashCandidate(RequestFingerprint("0c")),
                        ),
                    ),
                ),
                proofs = listOf(ProofReport("5e", ageMilliseconds = 300)),
                blames = listOf(
                    BlameReport(CrashSuspect("part:50b1"), listOf(RunnerId("runner-1@5")), ageMilliseconds = 0),
                    BlameReport(CrashSuspect("request:0c"), emptyList(), ageMilliseconds = 7, isCleared = true),
                ),
            ),
        ),
    )

    /** Fields of a refusal that were added later, and that older builds skip. */
    @Test
    fun `a refusal with its trials`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" + "1009" +
            "42221a200a09706172743a35306231120a72756e6e65722d314035180028013002389c01",
        WorkMessage(
            sender,
            number = 9,
            crashes = CrashNews(
                blames = listOf(
                    BlameReport(
                        CrashSuspect("part:50b1"),
                        listOf(RunnerId("runner-1@5")),
                        ageMilliseconds = 0,
                        wasAnswered = true,
                        trials = 2,
                        trialAgeMilliseconds = 156,
                    ),
                ),
            ),
        ),
    )

    /** Written by the build that added the field, which older builds skip. */
    @Test
    fun `endpoints that leave`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "100a" +
            "4a110a0872756e6e65722d311080d095ffbc31",
        WorkMessage(sender, number = 10, leaving = listOf(LeavingReport("runner-1", start = 1_700_000_000_000))),
    )

    /** Written by the build that added the field, which older builds skip. */
    @Test
    fun `speeds of endpoints`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "100b" +
            "52160a0872756e6e65722d311080d095ffbc3118aa01200c",
        WorkMessage(
            sender,
            number = 11,
            speeds = listOf(SpeedReport("runner-1", 1_700_000_000_000, 170, answers = 12)),
        ),
    )

    /** Fields of a loss that were added later, and that older builds skip. */
    @Test
    fun `losses of an endpoint that has ended, and of one that lives on`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" + "100b" +
            "42240a100a0a72756e6e65722d314035101428010a100a0a72756e6e65722d31403510143001",
        WorkMessage(
            sender,
            number = 11,
            crashes = CrashNews(
                losses = listOf(
                    LossReport(RunnerId("runner-1@5"), ageMilliseconds = 20, hasEnded = true),
                    LossReport(RunnerId("runner-1@5"), ageMilliseconds = 20, isAlive = true),
                ),
            ),
        ),
    )

    /** Written by the build that added the field, which older builds skip. */
    @Test
    fun `endpoints that fail calls`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" + "100c" + "a201100a0872756e6e65722d31100518022005",
        WorkMessage(
            sender,
            number = 12,
            trust = listOf(TrustReport("runner-1", start = 5, change = 2, ageMilliseconds = 5)),
        ),
    )

    @Test
    fun `a field that a later build adds is skipped`() {
        val bytes = HexFormat.of().parseHex("0a120a0766726f6e742d31120773746172742d37" + "1001" + "5a03616263")
        assertEquals(WorkMessage(sender, number = 1), WorkMessage.decode(bytes))
    }

    @Test
    fun `a message with all fields`() = assertBytes(
        "0a120a0766726f6e742d31120773746172742d37" +
            "10ffffffffffffffff7f" +
            "1a0f0a0872756e6e65722d31100318f403" +
            "1a0e0a0872756e6e65722d3210001800" +
            "1a130a0872756e6e65722d331082011880e497d012" +
            "2001" +
            "2802" +
            "322d0a0761647669736f721007180118ffffffffffffffffff01188080808080808080800118ffffffffffffffff7f" +
            "32090a0473686f7010ac02",
        WorkMessage(sender, Long.MAX_VALUE, work, isLeaving = true, scope = WorkScope.FLEET, held = held),
    )
}
