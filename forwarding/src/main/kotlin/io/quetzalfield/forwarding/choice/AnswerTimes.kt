package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** Expected times of answers at endpoints. Used on the event loop only. */
public interface AnswerTimes {
    /**
     * Returns the time from [now] until the answer to [work] is expected to start at [endpoint], if it is sent there
     * then: its first event, or the whole answer of a plain service. Zero while too few answers are known to expect
     * one, as only requests that are sent show it.
     */
    public fun expectedStart(work: Work, endpoint: Endpoint, now: ComparableTimeMark): Duration
}
