package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.quetzalfield.decision.RequestedModel
import io.quetzalfield.decision.RouteRequest
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.Plan
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.engine.ChatCompletionRequest
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.util.UUID

private const val DEFAULT_KIND = "general"

/** An authenticated caller, with the snapshot of the lists that is used for all decisions on its request. */
internal class Caller(val snapshot: ListsSnapshot, val account: ClientAccount, val plan: Plan)

/**
 * A completion request as received, not yet parsed.
 *
 * @property key the caller's idempotency key.
 */
internal class RawCompletionRequest(val body: String, val key: String?, val kind: String?, val sessionToken: String?)

/** Parses and checks completion requests. */
internal class CompletionReader(private val sessionTokens: SignedTokens<SessionPin>) {
    fun read(raw: RawCompletionRequest, caller: Caller): Either<NotRun, CompletionCall> =
        parseBody(raw.body, ChatCompletionRequest.serializer()).flatMap { body ->
            requestedModel(body.model, caller.snapshot).flatMap { requested ->
                readPin(raw.sessionToken, caller).map { pin -> call(raw, caller, body, requested, pin) }
            }
        }

    private fun call(
        raw: RawCompletionRequest,
        caller: Caller,
        body: ChatCompletionRequest,
        requested: RequestedModel,
        pin: SessionPin?,
    ): CompletionCall = CompletionCall(
        id = RequestId(UUID.randomUUID().toString()),
        snapshot = caller.snapshot,
        account = caller.account,
        plan = caller.plan,
        key = RequestKey(raw.key ?: UUID.randomUUID().toString()),
        route = RouteRequest(
            plan = caller.plan,
            kind = raw.kind ?: DEFAULT_KIND,
            requested = requested,
            expectedTokens = body.maximumTokens ?: RouteRequest.DEFAULT_EXPECTED_TOKENS,
        ),
        pin = pin,
        body = body,
        isKeyedByCaller = raw.key != null,
    )

    private fun readPin(token: String?, caller: Caller): Either<NotRun, SessionPin?> {
        if (token == null) return null.right()
        return sessionTokens.verify(token, caller.snapshot)
            .mapLeft { NotRun(RefusalReason.INVALID_SESSION, "session token: ${it.message}") }
            .flatMap { pin ->
                if (pin.account == caller.account.id) {
                    pin.right()
                } else {
                    NotRun(RefusalReason.INVALID_SESSION, "the session belongs to another account").left()
                }
            }
    }
}

/** Resolves the model name of a request. */
internal fun requestedModel(name: String, snapshot: ListsSnapshot): Either<NotRun, RequestedModel> {
    if (name == AUTOMATIC_MODEL) return RequestedModel.Automatic.right()
    val exact = ModelVersionReference.parse(name)
    return when {
        exact == null && snapshot.hasModel(ModelId(name)) -> RequestedModel.AnyVersion(ModelId(name)).right()

        exact == null || !snapshot.hasModel(exact.model) ->
            NotRun(RefusalReason.UNKNOWN_MODEL, "no model is named $name").left()

        snapshot.version(exact) == null ->
            NotRun(RefusalReason.UNKNOWN_VERSION, "model ${exact.model} has no version ${exact.version}").left()

        else -> RequestedModel.Exactly(exact).right()
    }
}

/** Parses a request body. */
internal fun <T> parseBody(text: String, serializer: KSerializer<T>): Either<NotRun, T> = try {
    PlatformJson.decodeFromString(serializer, text).right()
} catch (error: SerializationException) {
    NotRun(RefusalReason.MALFORMED_BODY, error.message.orEmpty().lineSequence().first()).left()
}
