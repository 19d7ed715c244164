package io.quetzalfield.history

import io.quetzalfield.history.HistoryEvent.BillsStored
import io.quetzalfield.history.HistoryEvent.RequestSent
import io.quetzalfield.history.HistoryEvent.RunStarted
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.RequestKey

/** Checks that the stored bills count each answered request key once. */
public val billChecker: PromiseChecker<BillsStored> = PromiseChecker(
    promise = Promise.BILLED_ONCE,
    cases = { history -> history.events<BillsStored>().filter { history.keysToBill(it.account).isNotEmpty() } },
    subject = BillsStored::account,
    fault = { bills ->
        val expected = expectedBills(bills.account)
        when {
            expected.billedTwice.isNotEmpty() -> "more than one answer is marked as billed for ${expected.billedTwice}"

            bills.answers !in expected.answers -> "${bills.answers} answers are billed; expected ${expected.answers}"

            !expected.matches(bills.priceMicros) ->
                "${bills.priceMicros} micros are billed; expected ${expected.leastPrice}"

            else -> null
        }
    },
)

/** Checks that every answer with an end marker is the whole answer to its request. */
public val wholeAnswerChecker: PromiseChecker<RequestSent> = PromiseChecker(
    promise = Promise.WHOLE_OWN_ANSWER,
    cases = { history -> history.sends.filter { history.outcome(it) is CallerOutcome.Answered } },
    subject = RequestSent::request,
    fault = { send ->
        val text = (outcome(send) as? CallerOutcome.Answered)?.text
        if (text == send.expectedAnswer) null else "got '$text' instead of '${send.expectedAnswer}'"
    },
)

/** Checks that no run can be attributed only to a send that was answered "not run". */
public val notRunChecker: PromiseChecker<RequestSent> = PromiseChecker(
    promise = Promise.NOT_RUN_IS_TRUE,
    cases = { history -> history.sends.filter { history.outcome(it) is CallerOutcome.NotRun } },
    subject = RequestSent::request,
    fault = { send ->
        val run = runs(send.key).firstOrNull { run -> possibleSends(run) == listOf(send) }
        run?.let { "was answered 'not run' but ran at ${it.endpoint} as ${it.attempt}" }
    },
)

/** Checks that each key of a non-idempotent operation has at most one run. */
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
    val billedTwice: Set<RequestKey>,
) {
    fun matches(priceMicros: Long): Boolean = if (isCertain) priceMicros == leastPrice else priceMicros >= leastPrice
}

/** A key that ran may be billed even if its caller received no whole answer, so the expected count is a range. */
private fun History.expectedBills(account: ClientAccountId): ExpectedBills {
    val keys = keysToBill(account)
    val answers = keys.associateWith { key -> sends(key).mapNotNull { outcome(it) as? CallerOutcome.Answered } }
    val answered = answers.filterValues { it.isNotEmpty() }
    return ExpectedBills(
        answers = answered.size.toLong()..keys.size.toLong(),
        leastPrice = answered.values.sumOf { ofKey -> ofKey.minOf(CallerOutcome.Answered::priceMicros) },
        isCertain = answered.size == keys.size,
        billedTwice = answered.filterValues { all -> all.count(CallerOutcome.Answered::isBilled) > 1 }.keys,
    )
}

private fun History.keysToBill(account: ClientAccountId): Set<RequestKey> = sends
    .filter { it.account == account && it.operation == RequestOperation.COMPLETION && hasRun(it) }
    .map(RequestSent::key)
    .toSet()

private fun History.hasRun(send: RequestSent): Boolean =
    runs(send.key).isNotEmpty() || outcome(send) is CallerOutcome.Answered

internal fun History.outcome(send: RequestSent): CallerOutcome? = end(send.request)?.outcome

/** The sends that may have caused [run]: those open when it started, otherwise the last one before it. */
private fun History.possibleSends(run: RunStarted): List<RequestSent> {
    val earlier = sends(run.key).filter { it.at <= run.at }
    val open = earlier.filter { send -> end(send.request).let { it == null || it.at >= run.at } }
    return open.ifEmpty { listOfNotNull(earlier.lastOrNull()) }
}
