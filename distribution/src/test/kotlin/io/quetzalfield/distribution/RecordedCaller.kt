package io.quetzalfield.distribution

import io.quetzalfield.history.CallerOutcome
import io.quetzalfield.history.HistoryEvent
import io.quetzalfield.history.HistoryRecorder
import io.quetzalfield.history.RequestOperation
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.SessionId
import io.quetzalfield.standins.CallerAnswer
import io.quetzalfield.standins.CallerClient
import io.quetzalfield.standins.CallerReply
import io.quetzalfield.standins.FailureStatement
import io.quetzalfield.standins.ReceivedSession
import io.quetzalfield.standins.ServiceRun
import io.quetzalfield.standins.answerWords
import io.quetzalfield.standins.readFailureStatement
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.ChatCompletionRequest
import io.quetzalfield.store.engine.ChatMessage
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.net.ConnectException
import java.util.UUID

/** An API key of the example lists with the account that it belongs to. */
internal enum class Account(val apiKey: String, val id: ClientAccountId) {
    WORKSHOP("workshop-key", ClientAccountId("workshop-tampere")),
    CERTIFICATES("certificate-key", ClientAccountId("certificates-oulu")),
    CARETAKERS("caretaker-key", ClientAccountId("caretakers-windhoek")),
    GROWERS("grower-key", ClientAccountId("growers-khomas")),
}

/** An entry as callers know it. */
internal data class KnownEntry(val incarnation: Incarnation, val address: String)

/** Sends requests to entries and records what it sees. The key of a request is the first word of its text. */
internal class RecordedCaller(private val recorder: HistoryRecorder, private val answerTokens: Int = ANSWER_TOKENS) {
    fun ask(
        entry: KnownEntry,
        key: String,
        account: Account = Account.WORKSHOP,
        session: ReceivedSession? = null,
        onToken: (Int) -> Unit = {},
    ): CallerOutcome {
        val request = question(key)
        val id = sent(entry, key, account, RequestOperation.COMPLETION, session, answerWords(request).joinToString(""))
        val answer = CallerClient(entry.address)
            .complete(account.apiKey, request, session = session?.token, key = key, onToken = onToken)
        return ended(id, answer.toOutcome())
    }

    /** Books under [ticket], or under [key] when there is none. The service answers with the key. */
    fun book(entry: KnownEntry, key: String, ticket: String?, account: Account = Account.WORKSHOP): CallerOutcome {
        val id = sent(entry, key, account, RequestOperation.NON_IDEMPOTENT_OPERATION, null, key)
        val header = if (ticket == null) "Idempotency-Key" to key else "Quetzalfield-Ticket" to ticket
        val outcome = connected {
            CallerClient(entry.address)
                .post("/v1/services/bookings/book", account.apiKey, key, mapOf(header))
                .toOutcome()
        }
        return ended(id, outcome)
    }

    fun openSession(entry: KnownEntry, account: Account): ReceivedSession? {
        val session = try {
            CallerClient(entry.address).openSession(account.apiKey, "general")
        } catch (_: IOException) {
            return null
        } catch (_: SerializationException) {
            return null
        }
        val version = checkNotNull(ModelVersionReference.parse(session.version))
        recorder.record { HistoryEvent.SessionOpened(it, SessionId(session.session), version) }
        return session
    }

    fun mintTicket(entry: KnownEntry, account: Account = Account.WORKSHOP): String? = try {
        CallerClient(entry.address).mintTicket(account.apiKey)
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

    /** Records the revision that is in force at [entry], as a new session tells it; `null` when it opens none. */
    fun seeRevision(entry: KnownEntry, account: Account = Account.GROWERS): Long? {
        val revision = openSession(entry, account)?.revision ?: return null
        recorder.record { HistoryEvent.RevisionSeen(it, entry.incarnation, ListsRevision(revision)) }
        return revision
    }

    private fun question(key: String) = ChatCompletionRequest(
        model = "auto",
        messages = listOf(ChatMessage("user", "$key how tight is the screw")),
        stream = true,
        maximumTokens = answerTokens,
    )

    private fun sent(
        entry: KnownEntry,
        key: String,
        account: Account,
        operation: RequestOperation,
        session: ReceivedSession?,
        expectedAnswer: String,
    ): RequestId {
        val id = RequestId(UUID.randomUUID().toString())
        recorder.record {
            HistoryEvent.RequestSent(
                at = it,
                request = id,
                account = account.id,
                entry = entry.incarnation,
                key = RequestKey(key),
                operation = operation,
                session = session?.let { opened -> SessionId(opened.session) },
                expectedAnswer = expectedAnswer,
            )
        }
        return id
    }

    private fun ended(id: RequestId, outcome: CallerOutcome): CallerOutcome {
        recorder.record { HistoryEvent.RequestEnded(it, id, outcome) }
        return outcome
    }

    private companion object {
        const val ANSWER_TOKENS = 20
    }
}

private fun connected(call: () -> CallerOutcome): CallerOutcome = try {
    call()
} catch (_: ConnectException) {
    CallerOutcome.Unreachable
} catch (error: IOException) {
    CallerOutcome.Cut("$error")
}

private fun CallerAnswer.toOutcome(): CallerOutcome = when {
    error == null ->
        CallerOutcome.Answered(text, version?.let(ModelVersionReference::parse), isBilled, priceMicros)

    isUnreachable -> CallerOutcome.Unreachable

    else -> statement?.toOutcome() ?: CallerOutcome.Cut("status $status: $error")
}

private fun CallerReply.toOutcome(): CallerOutcome = if (status == OK_STATUS) {
    CallerOutcome.Answered(PlatformJson.decodeFromString(ServiceRun.serializer(), body).body)
} else {
    readFailureStatement(body)?.toOutcome() ?: CallerOutcome.Cut("status $status: $body")
}

private fun FailureStatement.toOutcome(): CallerOutcome =
    if (ran == "no") CallerOutcome.NotRun(code) else CallerOutcome.MayHaveRun(code)

private const val OK_STATUS = 200
