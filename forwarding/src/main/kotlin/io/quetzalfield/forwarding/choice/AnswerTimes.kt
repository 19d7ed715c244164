package io.quetzalfield.forwarding.choice

import io.quetzalfield.forwarding.endpoints.Endpoint
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration

/** Expected times of answers at endpoints. Used on the event loop only. */
public interface AnswerTimes {
    /**
     * Returns the time from [now] until the answer to [work] is expected to start at [endpoint], if it is sent there
     * now: its first event, or the whole answer of a plain service. Infinite if nothing is known from which to expect
     * one.
     */
    public fun expectedStart(work: Work, endpoint: Endpoint, now: ComparableTimeMark): Duration
}
