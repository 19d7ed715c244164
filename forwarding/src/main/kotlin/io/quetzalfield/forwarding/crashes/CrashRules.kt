package io.quetzalfield.forwarding.crashes

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The evidence that [CrashLedger] asks for, and the times for which it acts on it.
 *
 * @property requestCrashes endpoints that a request makes end before its copies are refused.
 * @property partCrashes endpoints that requests with a part make end before requests with it are refused.
 * @property answeredPartCrashes the same for a part with which requests were answered before.
 * @property answeredPartSpan time over which the crashes of such a part have to extend: while endpoints are lost for
 * another reason, every part that is in use shares the losses until the next answer.
 * @property certainCrashes crashes from which on a part is tried again only after [certainPause], or
 * [answeredCertainPause] if requests with it were answered before.
 * @property certainRequestCrashes crashes from which on a request is tried again only after [certainPause].
 * @property confirmationTime time after a loss in which the entry of an endpoint that ended shows that.
 * @property reportDelay time by which the reported time of a loss may be too early.
 * @property partWindow time within which the crashes count together against a part.
 * @property settling time between sufficient evidence and a decision, in which answers reported by others may arrive.
 * @property sameLoss time within which losses of one start of an endpoint are one.
 * @property simultaneous time within which losses of several endpoints count as one against a part with which requests
 * were answered before: it is in use at many endpoints, and those that are lost together may have a common cause.
 * @property answeredSettling the same for a part with which requests were answered before: time in which requests that
 * begin after the losses show whether endpoints end by them.
 * @property doubtfulPause time after which a part with little evidence is tried again, by one request.
 * @property retention time for which the evidence and the refusal of a request are kept, and the refusal of a part
 * after the last request with it.
 */
public data class CrashRules(
    val requestCrashes: Int = 2,
    val partCrashes: Int = 3,
    val answeredPartCrashes: Int = 4,
    val answeredPartSpan: Duration = 1.seconds,
    val certainCrashes: Int = 5,
    val certainRequestCrashes: Int = 3,
    val confirmationTime: Duration = 10.seconds,
    val reportDelay: Duration = 200.milliseconds,
    val partWindow: Duration = 10.minutes,
    val settling: Duration = 250.milliseconds,
    val answeredSettling: Duration = 1.seconds,
    val sameLoss: Duration = 5.seconds,
    val simultaneous: Duration = 50.milliseconds,
    val doubtfulPause: Duration = 5.seconds,
    val certainPause: Duration = 5.minutes,
    val answeredCertainPause: Duration = 15.seconds,
    val retention: Duration = 60.minutes,
)
