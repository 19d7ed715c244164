package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.javalin.http.HttpResponseException
import io.quetzalfield.decision.RequestedModel
import io.quetzalfield.decision.RouteRequest
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.Plan
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.ServiceId
import io.quetzalfield.model.SessionId
import io.quetzalfield.platform.PlatformJson
import io.quetzalfield.platform.engine.ChatCompletionRequest
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.security.MessageDigest
import java.util.UUID
import kotlin.time.Clock
import kotlin.time.Duration

private const val OVERSIZED_STATUS = 413
private const val BEARER_PREFIX = "Bearer "
private const val DEFAULT_KIND = "general"

/** A caller whose API key was recognised, with the snapshot that its request is decided against. */
internal class Caller(val snapshot: ListsSnapshot, val account: ClientAccount, val plan: Plan)

/** The interface towards callers. */
internal class CallerApi(
    private val lists: ListsHolder,
    private val fleet: FleetView,
    private val completions: CompletionService,
    private val services: ServiceCallService,
    private val addressValidity: Duration,
    private val metrics: EntryMetrics,
    private val gate: ShutdownGate,
    private val sessions: SessionCounts,
    private val clock: Clock = Clock.System,
) {
    private val sessionTokens = SignedTokens("session", SessionPin.serializer())
    private val ticketTokens = SignedTokens("ticket", Ticket.serializer())

    fun addRoutes(routes: RoutesConfig) {
        routes.post("/v1/chat/completions") { guarded(it, ::complete) }
        routes.post("/v1/sessions") { guarded(it, ::openSession) }
        routes.post("/v1/tickets") { guarded(it, ::mintTicket) }
        routes.post("/v1/services/{service}/{operation}") { guarded(it, ::callService) }
        routes.get("/v1/addresses", ::answerAddresses)
        routes.get("/health/live") { it.result("live") }
        routes.get("/health/ready", ::answerReady)
        routes.exception(HttpResponseException::class.java) { error, context -> context.answerHttpError(error) }
    }

    /** Runs [action] unless the entry shuts down; counts the request as running until it returns. */
    private fun guarded(context: Context, action: (Context) -> Either<RequestFailure, Unit>) {
        val result = gate.enter { action(context) }
            ?: NotRun(RefusalReason.SHUTTING_DOWN, "this entry is shutting down; use another address").left()
        result.onLeft { failure -> context.answerFailure(failure) }
    }

    private fun complete(context: Context): Either<RequestFailure, Unit> =
        authenticate(context).flatMap { caller -> readCall(context, caller) }.flatMap { call ->
            val writer = CompletionWriter(context, call.body.stream, call.id.value)
            completions.complete(call, writer)
                .map(writer::finish)
                .fold({ failure -> writer.fail(failure).right() }, { it.right() })
        }

    private fun readCall(context: Context, caller: Caller): Either<NotRun, CompletionCall> =
        parse(context.body(), ChatCompletionRequest.serializer()).flatMap { body ->
            requestedModel(body.model, caller.snapshot).flatMap { requested ->
                readPin(context, caller).map { pin -> completionCall(context, caller, body, requested, pin) }
            }
        }

    private fun completionCall(
        context: Context,
        caller: Caller,
        body: ChatCompletionRequest,
        requested: RequestedModel,
        pin: SessionPin?,
    ): CompletionCall = CompletionCall(
        id = RequestId(UUID.randomUUID().toString()),
        snapshot = caller.snapshot,
        account = caller.account,
        plan = caller.plan,
        key = RequestKey(context.header(IDEMPOTENCY_KEY_HEADER) ?: UUID.randomUUID().toString()),
        route = RouteRequest(
            plan = caller.plan,
            kind = context.header(KIND_HEADER) ?: DEFAULT_KIND,
            requested = requested,
            expectedTokens = body.maximumTokens ?: RouteRequest.DEFAULT_EXPECTED_TOKENS,
        ),
        pin = pin,
        body = body,
    )

    private fun readPin(context: Context, caller: Caller): Either<NotRun, SessionPin?> {
        val token = context.header(SESSION_HEADER) ?: return null.right()
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

    private fun openSession(context: Context): Either<RequestFailure, Unit> = authenticate(context).flatMap { caller ->
        parse(context.body().ifBlank { "{}" }, OpenSessionRequest.serializer()).flatMap { request ->
            requestedModel(request.model, caller.snapshot).flatMap { requested ->
                val routeRequest = RouteRequest(caller.plan, request.kind, requested)
                completions.chooseRoute(routeRequest, caller.snapshot)
                    .flatMap { route -> sessionAnswer(caller, route.stages.last()) }
                    .map { context.answerJson(OpenSessionAnswer.serializer(), it) }
            }
        }
    }

    private fun sessionAnswer(caller: Caller, version: ModelVersionReference): Either<NotRun, OpenSessionAnswer> {
        val pin = SessionPin(
            session = SessionId(UUID.randomUUID().toString()),
            account = caller.account.id,
            version = version,
            revision = caller.snapshot.revision,
            openedAtEpochMilliseconds = clock.now().toEpochMilliseconds(),
        )
        return sessionTokens.sign(pin, caller.snapshot)
            .mapLeft { NotRun(RefusalReason.LISTS_NOT_CURRENT, it.message) }
            .onRight { sessions.countOpened(version) }
            .map { OpenSessionAnswer(pin.session.value, it, version.toString(), pin.revision.value) }
    }

    private fun mintTicket(context: Context): Either<RequestFailure, Unit> = authenticate(context).flatMap { caller ->
        ticketTokens.sign(services.mintTicket(caller.account.id), caller.snapshot)
            .mapLeft { NotRun(RefusalReason.LISTS_NOT_CURRENT, it.message) }
            .map { context.answerJson(TicketAnswer.serializer(), TicketAnswer(it)) }
    }

    private fun callService(context: Context): Either<RequestFailure, Unit> = authenticate(context).flatMap { caller ->
        val call = ServiceCall(
            account = caller.account.id,
            service = ServiceId(context.pathParam("service")),
            operation = context.pathParam("operation"),
            body = context.bodyAsBytes(),
            contentType = context.contentType() ?: "application/json",
        )
        checkService(caller, call)
            .flatMap { isRepeatable -> runService(context, caller, call, isRepeatable) }
            .map { context.status(it.status).contentType(it.contentType).result(it.body) }
    }.map { }

    /** Whether the operation may be repeated, if the plan allows the service at all. */
    private fun checkService(caller: Caller, call: ServiceCall): Either<NotRun, Boolean> {
        val service = caller.snapshot.service(call.service)
            ?: return NotRun(RefusalReason.UNKNOWN_SERVICE, "no service is named ${call.service}").left()
        if (!caller.snapshot.isServiceAllowed(caller.plan.id, call.service)) {
            return NotRun(RefusalReason.NOT_ALLOWED_BY_PLAN, "the plan does not allow ${call.service}").left()
        }
        return (call.operation !in service.nonIdempotentOperations).right()
    }

    private fun runService(
        context: Context,
        caller: Caller,
        call: ServiceCall,
        isRepeatable: Boolean,
    ): Either<RequestFailure, ServiceAnswer> {
        if (isRepeatable) return services.run(call)
        val text = context.header(TICKET_HEADER)
            ?: return NotRun(RefusalReason.MISSING_IDEMPOTENCY_KEY, "${call.operation} needs a ticket").left()
        return ticketTokens.verify(text, caller.snapshot)
            .mapLeft { NotRun(RefusalReason.INVALID_TICKET, "ticket: ${it.message}") }
            .flatMap { ticket -> services.runOnce(call, ticket) }
    }

    private fun answerAddresses(context: Context) {
        val addresses = fleet.entries.map { EntryAddress(it.address, it.failureDomain) }
        context.answerJson(AddressAnswer.serializer(), AddressAnswer(addresses, addressValidity.inWholeSeconds))
    }

    private fun answerReady(context: Context) {
        val isReady = lists.snapshot !== ListsSnapshot.Empty && !gate.isClosed
        if (isReady) context.result("ready") else context.status(RefusalReason.SHUTTING_DOWN.status).result("not ready")
    }

    private fun authenticate(context: Context): Either<NotRun, Caller> {
        val header = context.header("Authorization")
            ?: return NotRun(RefusalReason.MISSING_API_KEY, "send 'Authorization: Bearer KEY'").left()
        val snapshot = lists.snapshot
        val account = snapshot.accountByKeyHash(sha256(header.removePrefix(BEARER_PREFIX)))
        val plan = account?.let { snapshot.plan(it.plan) }
            ?: return NotRun(RefusalReason.UNKNOWN_API_KEY, "the API key is not known").left()
        return Caller(snapshot, account, plan).right()
    }

    private fun requestedModel(name: String, snapshot: ListsSnapshot): Either<NotRun, RequestedModel> {
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

    private fun <T> parse(text: String, serializer: KSerializer<T>): Either<NotRun, T> = try {
        PlatformJson.decodeFromString(serializer, text).right()
    } catch (error: SerializationException) {
        NotRun(RefusalReason.MALFORMED_BODY, error.message.orEmpty().lineSequence().first()).left()
    }

    private fun Context.answerFailure(failure: RequestFailure) {
        metrics.countFailure(failure)
        writeFailure(failure, requestId = null)
    }

    private fun Context.answerHttpError(error: HttpResponseException) {
        val reason =
            if (error.status == OVERSIZED_STATUS) RefusalReason.OVERSIZED_BODY else RefusalReason.MALFORMED_BODY
        answerFailure(NotRun(reason, error.message.orEmpty()))
    }
}

private fun sha256(text: String): String =
    MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }

internal fun <T> Context.answerJson(serializer: KSerializer<T>, value: T) {
    contentType("application/json").result(PlatformJson.encodeToString(serializer, value))
}

internal fun Context.writeFailure(failure: RequestFailure, requestId: String?) {
    status(failure.status)
    val body = failure.toErrorBody(requestId)
    body.error.retryAfterSeconds?.let { header("Retry-After", "$it") }
    answerJson(ErrorBody.serializer(), body)
}
