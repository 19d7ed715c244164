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

/** An API key of the example lists and the client account that it belongs to. */
internal enum class Account(val apiKey: String, val id: ClientAccountId) {
    WORKSHOP("workshop-key", ClientAccountId("workshop-tampere")),
    CERTIFICATES("certificate-key", ClientAccountId("certificates-oulu")),
    CARETAKERS("caretaker-key", ClientAccountId("caretakers-windhoek")),
    GROWERS("grower-key", ClientAccountId("growers-khomas")),
}

/** An entry that callers send requests to, with its caller address. */
internal data class TargetEntry(val incarnation: Incarnation, val address: String)

/** Sends requests to entries and records them and their outcomes. The first word of a prompt is the request's key. */
internal class RecordingCaller(private val recorder: HistoryRecorder, private val answerTokens: Int = ANSWER_TOKENS) {
    fun complete(
        entry: TargetEntry,
        key: String,
        account: Account = Account.WORKSHOP,
        session: ReceivedSession? = null,
        onToken: (Int) -> Unit = {},
    ): CallerOutcome {
        val request = question(key)
        val id =
            recordSent(entry, key, account, RequestOperation.COMPLETION, session, answerWords(request).joinToString(""))
        val answer = CallerClient(entry.address)
            .complete(account.apiKey, request, session = session?.token, key = key, onToken = onToken)
        return recordEnded(id, answer.toOutcome())
    }

    /** Books with [ticket], or with [key] as the idempotency key when [ticket] is `null`; the service returns [key]. */
    fun book(entry: TargetEntry, key: String, ticket: String?, account: Account = Account.WORKSHOP): CallerOutcome {
        val id = recordSent(entry, key, account, RequestOperation.NON_IDEMPOTENT_OPERATION, null, key)
        val header = if (ticket == null) "Idempotency-Key" to key else "Quetzalfield-Ticket" to ticket
        val outcome = catchingConnectionErrors {
            CallerClient(entry.address)
                .post("/v1/services/bookings/book", account.apiKey, key, mapOf(header))
                .toOutcome()
        }
        return recordEnded(id, outcome)
    }

    fun openSession(entry: TargetEntry, account: Account): ReceivedSession? {
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

    fun mintTicket(entry: TargetEntry, account: Account = Account.WORKSHOP): String? = try {
        CallerClient(entry.address).mintTicket(account.apiKey)
    } catch (_: IOException) {
        null
    } catch (_: SerializationException) {
        null
    }

    /** Opens a session to record the revision in force at [entry]; `null` when no session can be opened. */
    fun observeRevision(entry: TargetEntry, account: Account = Account.GROWERS): Long? {
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

    private fun recordSent(
        entry: TargetEntry,
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

    private fun recordEnded(id: RequestId, outcome: CallerOutcome): CallerOutcome {
        recorder.record { HistoryEvent.RequestEnded(it, id, outcome) }
        return outcome
    }

    private companion object {
        const val ANSWER_TOKENS = 20
    }
}

private fun catchingConnectionErrors(call: () -> CallerOutcome): CallerOutcome = try {
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

private fun CallerReply.toOutcome(): CallerOutcome = if (status == HTTP_OK) {
    CallerOutcome.Answered(PlatformJson.decodeFromString(ServiceRun.serializer(), body).body)
} else {
    readFailureStatement(body)?.toOutcome() ?: CallerOutcome.Cut("status $status: $body")
}

private fun FailureStatement.toOutcome(): CallerOutcome =
    if (ran == "no") CallerOutcome.NotRun(code) else CallerOutcome.MayHaveRun(code)

private const val HTTP_OK = 200
