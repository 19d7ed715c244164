package io.quetzalfield.history

import io.quetzalfield.history.HistoryEvent.BillsStored
import io.quetzalfield.history.HistoryEvent.RequestSent
import io.quetzalfield.history.HistoryEvent.RunStarted
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.RequestKey

/** The sums that the platform keeps must count each answered request key once. */
public val billChecker: PromiseChecker<BillsStored> = PromiseChecker(
    promise = Promise.BILLED_ONCE,
    cases = { history -> history.events<BillsStored>().filter { history.keysToBill(it.account).isNotEmpty() } },
    subject = BillsStored::account,
    fault = { bills ->
        val expected = expectedBills(bills.account)
        when {
            expected.doubled.isNotEmpty() -> "two answers say that they were billed: ${expected.doubled}"

            bills.answers !in expected.answers -> "${bills.answers} answers are billed, due are ${expected.answers}"

            !expected.fits(bills.priceMicros) ->
                "${bills.priceMicros} micros are billed, due are ${expected.leastPrice}"

            else -> null
        }
    },
)

/** Every answer with an end marker must be the whole answer to the request. */
public val wholeAnswerChecker: PromiseChecker<RequestSent> = PromiseChecker(
    promise = Promise.WHOLE_OWN_ANSWER,
    cases = { history -> history.sends.filter { history.outcome(it) is CallerOutcome.Answered } },
    subject = RequestSent::request,
    fault = { send ->
        val text = (outcome(send) as? CallerOutcome.Answered)?.text
        if (text == send.expectedAnswer) null else "got '$text' instead of '${send.expectedAnswer}'"
    },
)

/** No run may belong to a send alone that was told "not run". */
public val notRunChecker: PromiseChecker<RequestSent> = PromiseChecker(
    promise = Promise.NOT_RUN_IS_TRUE,
    cases = { history -> history.sends.filter { history.outcome(it) is CallerOutcome.NotRun } },
    subject = RequestSent::request,
    fault = { send ->
        val run = runs(send.key).firstOrNull { run -> originsOf(run) == listOf(send) }
        run?.let { "was told 'not run', and ran at ${it.endpoint} as ${it.attempt}" }
    },
)

/** Each key of a non-idempotent operation has at most one run. */
public val atMostOnceChecker: PromiseChecker<RequestKey> = PromiseChecker(
    promise = Promise.AT_MOST_ONCE,
    cases = { history ->
        history.sends.filter { it.operation == RequestOperation.NON_IDEMPOTENT_OPERATION }
            .map(RequestSent::key)
            .distinct()
            .filter { history.runs(it).isNotEmpty() }
    },
    subject = { it },
    fault = { key -> if (runs(key).size <= 1) null else "ran ${runs(key).size} times" },
)

private class ExpectedBills(
    val answers: LongRange,
    val leastPrice: Long,
    val isCertain: Boolean,
    val doubled: Set<RequestKey>,
) {
    fun fits(priceMicros: Long): Boolean = if (isCertain) priceMicros == leastPrice else priceMicros >= leastPrice
}

/** A key whose caller saw no whole answer may be billed all the same, if it ran. */
private fun History.expectedBills(account: ClientAccountId): ExpectedBills {
    val keys = keysToBill(account)
    val answers = keys.associateWith { key -> sends(key).mapNotNull { outcome(it) as? CallerOutcome.Answered } }
    val answered = answers.filterValues { it.isNotEmpty() }
    return ExpectedBills(
        answers = answered.size.toLong()..keys.size.toLong(),
        leastPrice = answered.values.sumOf { sum -> sum.minOf(CallerOutcome.Answered::priceMicros) },
        isCertain = answered.size == keys.size,
        doubled = answered.filterValues { all -> all.count(CallerOutcome.Answered::isBilled) > 1 }.keys,
    )
}

private fun History.keysToBill(account: ClientAccountId): Set<RequestKey> = sends
    .filter { it.account == account && it.operation == RequestOperation.COMPLETION && isRun(it) }
    .map(RequestSent::key)
    .toSet()

private fun History.isRun(send: RequestSent): Boolean =
    runs(send.key).isNotEmpty() || outcome(send) is CallerOutcome.Answered

internal fun History.outcome(send: RequestSent): CallerOutcome? = end(send.request)?.outcome

/** The sends that [run] may belong to: those that were open when it started, else the last one before it. */
private fun History.originsOf(run: RunStarted): List<RequestSent> {
    val earlier = sends(run.key).filter { it.at <= run.at }
    val open = earlier.filter { send -> end(send.request).let { it == null || it.at >= run.at } }
    return open.ifEmpty { listOfNotNull(earlier.lastOrNull()) }
}
