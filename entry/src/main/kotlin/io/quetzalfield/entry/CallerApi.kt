package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.javalin.http.HttpResponseException
import io.quetzalfield.decision.HomeScope
import io.quetzalfield.decision.RouteRequest
import io.quetzalfield.decision.homeOrder
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.NotRun
import io.quetzalfield.model.RefusalReason
import io.quetzalfield.model.RequestFailure
import io.quetzalfield.model.SessionId
import io.quetzalfield.store.PlatformJson
import kotlinx.serialization.KSerializer
import java.security.MessageDigest
import java.util.HexFormat
import java.util.UUID
import kotlin.time.Clock
import kotlin.time.Duration

private const val OVERSIZED_STATUS = 413
private const val BEARER_PREFIX = "Bearer "

/** The HTTP API for callers. */
internal class CallerApi(
    private val lists: DecisionLists,
    private val fleet: FleetView,
    private val completions: CompletionService,
    private val services: ServiceCallService,
    private val requests: CallerRequests,
    private val sessionTokens: SignedTokens<SessionPin>,
    private val ticketTokens: SignedTokens<Ticket>,
    private val addressValidity: Duration,
    private val metrics: EntryMetrics,
    private val gate: ShutdownGate,
    private val sessions: SessionCounts,
    private val clock: Clock = Clock.System,
) {
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

    private fun complete(context: Context): Either<RequestFailure, Unit> = authenticate(context).map { caller ->
        val raw = RawCompletionRequest(
            body = context.body(),
            key = context.header(IDEMPOTENCY_KEY_HEADER),
            kind = context.header(KIND_HEADER),
            sessionToken = context.header(SESSION_HEADER),
        )
        requests.complete(caller, raw, ContextAnswerChannel(context))
    }

    private fun openSession(context: Context): Either<RequestFailure, Unit> = authenticate(context).flatMap { caller ->
        parseBody(context.body().ifBlank { "{}" }, OpenSessionRequest.serializer()).flatMap { request ->
            requestedModel(request.model, caller.snapshot).flatMap { requested ->
                val routeRequest = RouteRequest(caller.plan, request.kind, requested, maximumStages = 1)
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

    private fun callService(context: Context): Either<RequestFailure, Unit> = authenticate(context).map { caller ->
        val raw = RawServiceRequest(
            service = context.pathParam("service"),
            operation = context.pathParam("operation"),
            body = context.bodyAsBytes(),
            contentType = context.contentType() ?: JSON_CONTENT_TYPE,
            key = context.header(IDEMPOTENCY_KEY_HEADER),
            ticket = context.header(TICKET_HEADER),
        )
        requests.callService(caller, raw, ContextAnswerChannel(context))
    }

    private fun answerAddresses(context: Context) {
        val scope = (context.queryParam("session") ?: context.queryParam("key"))?.let(::HomeScope)
        val entries = if (scope == null) fleet.entries else homeOrder(scope, fleet.entries)
        val addresses = entries.map { EntryAddress(it.address, it.failureDomain) }
        context.answerJson(AddressAnswer.serializer(), AddressAnswer(addresses, addressValidity.inWholeSeconds))
    }

    private fun answerReady(context: Context) {
        val isReady = lists.snapshot().isRight() && !gate.isClosed
        if (isReady) context.result("ready") else context.status(RefusalReason.SHUTTING_DOWN.status).result("not ready")
    }

    private fun authenticate(context: Context): Either<NotRun, Caller> {
        val header = context.header("Authorization")
            ?: return NotRun(RefusalReason.MISSING_API_KEY, "send 'Authorization: Bearer KEY'").left()
        return lists.snapshot().flatMap { snapshot -> findCaller(header.removePrefix(BEARER_PREFIX), snapshot) }
    }

    private fun findCaller(apiKey: String, snapshot: ListsSnapshot): Either<NotRun, Caller> {
        val account = snapshot.accountByKeyHash(sha256(apiKey))
        val plan = account?.let { snapshot.plan(it.plan) }
            ?: return NotRun(RefusalReason.UNKNOWN_API_KEY, "the API key is not known").left()
        return Caller(snapshot, account, plan).right()
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

internal fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()))

internal fun <T> Context.answerJson(serializer: KSerializer<T>, value: T) {
    contentType("application/json").result(PlatformJson.encodeToString(serializer, value))
}

internal fun Context.writeFailure(failure: RequestFailure, requestId: String?) {
    status(failure.status)
    val body = failure.toErrorBody(requestId)
    body.error.retryAfterSeconds?.let { header("Retry-After", "$it") }
    answerJson(ErrorBody.serializer(), body)
}
