package io.quetzalfield.standins

import arrow.core.Either
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import io.quetzalfield.store.GatewayEvent
import io.quetzalfield.store.GatewayHeader
import io.quetzalfield.store.GatewayKeepAliveResponse
import io.quetzalfield.store.GatewayKeyValue
import io.quetzalfield.store.GatewayLeaseGrantRequest
import io.quetzalfield.store.GatewayLeaseRequest
import io.quetzalfield.store.GatewayLeaseResponse
import io.quetzalfield.store.GatewayOperationResponse
import io.quetzalfield.store.GatewayRangeRequest
import io.quetzalfield.store.GatewayRangeResponse
import io.quetzalfield.store.GatewayTransaction
import io.quetzalfield.store.GatewayTransactionResponse
import io.quetzalfield.store.GatewayWatchBody
import io.quetzalfield.store.GatewayWatchRequest
import io.quetzalfield.store.GatewayWatchResponse
import io.quetzalfield.store.KeyValueError
import io.quetzalfield.store.LeaseId
import io.quetzalfield.store.PlatformJson
import io.quetzalfield.store.StoreChange
import io.quetzalfield.store.StoreRevision
import io.quetzalfield.store.StoredValue
import io.quetzalfield.store.SwapResult
import io.quetzalfield.store.decodeBase64
import io.quetzalfield.store.encodeBase64
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import kotlinx.serialization.KSerializer
import java.io.IOException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private const val LOST_ANSWER_STATUS = 504
private const val BAD_REQUEST_STATUS = 400
private const val WATCH_POLL_MILLISECONDS = 500L

/** The JSON gateway of the etcd v3 interface over an [InMemoryKeyValueStore]. */
internal class KeyValueGateway {
    private val store = InMemoryKeyValueStore()

    @Volatile
    private var delayMilliseconds = 0L

    val callCount: Long get() = store.callCount

    fun applyFaults(faults: PlatformFaults) {
        store.isDown = faults.isDown
        store.loseAnswers(faults.loseAnswers)
        delayMilliseconds = faults.delayMilliseconds
    }

    fun addRoutes(routes: RoutesConfig) {
        routes.post("/v3/kv/range") {
            it.serve(GatewayRangeRequest.serializer(), GatewayRangeResponse.serializer(), ::range)
        }
        routes.post("/v3/kv/txn") {
            it.serve(GatewayTransaction.serializer(), GatewayTransactionResponse.serializer(), ::transact)
        }
        routes.post("/v3/lease/grant") {
            it.serve(GatewayLeaseGrantRequest.serializer(), GatewayLeaseResponse.serializer(), ::grant)
        }
        routes.post("/v3/lease/keepalive") {
            it.serve(GatewayLeaseRequest.serializer(), GatewayKeepAliveResponse.serializer(), ::keepAlive)
        }
        routes.post("/v3/lease/revoke") {
            it.serve(GatewayLeaseRequest.serializer(), GatewayLeaseResponse.serializer(), ::revoke)
        }
        routes.post("/v3/watch", ::watch)
    }

    private fun range(request: GatewayRangeRequest): Either<KeyValueError, GatewayRangeResponse> {
        val key = decodeBase64(request.key)
        val values = if (request.rangeEnd == null) store.read(key).map(::listOfNotNull) else store.list(key)
        return values.map { GatewayRangeResponse(kvs = it.map(StoredValue::toGateway)) }
    }

    private fun transact(request: GatewayTransaction): Either<KeyValueError, GatewayTransactionResponse> {
        val compare = request.compare.single()
        val key = decodeBase64(compare.key)
        val expected = StoreRevision(compare.modRevision.toLong())
        val put = request.success.single().put
        val result = if (put == null) {
            store.compareAndDelete(key, expected)
        } else {
            store.compareAndSwap(key, expected, decodeBase64(put.value), leaseOf(put.lease))
        }
        return result.map(::transactionResponse)
    }

    private fun leaseOf(text: String): LeaseId? = text.toLong().takeIf { it != 0L }?.let(::LeaseId)

    private fun transactionResponse(result: SwapResult): GatewayTransactionResponse = when (result) {
        is SwapResult.Swapped ->
            GatewayTransactionResponse(GatewayHeader(result.stored.value.toString()), succeeded = true)

        is SwapResult.Conflict -> {
            val current = listOfNotNull(result.current).map(StoredValue::toGateway)
            GatewayTransactionResponse(
                responses = listOf(GatewayOperationResponse(GatewayRangeResponse(kvs = current))),
            )
        }
    }

    private fun grant(request: GatewayLeaseGrantRequest): Either<KeyValueError, GatewayLeaseResponse> =
        store.grantLease(request.timeToLiveSeconds.toInt().seconds)
            .map { GatewayLeaseResponse(it.value.toString(), request.timeToLiveSeconds) }

    private fun keepAlive(request: GatewayLeaseRequest): Either<KeyValueError, GatewayKeepAliveResponse> =
        store.keepAlive(LeaseId(request.id.toLong()))
            .map { GatewayKeepAliveResponse(GatewayLeaseResponse(request.id, if (it) "1" else "0")) }

    private fun revoke(request: GatewayLeaseRequest): Either<KeyValueError, GatewayLeaseResponse> =
        store.revokeLease(LeaseId(request.id.toLong())).map { GatewayLeaseResponse(request.id) }

    private fun <Q, R> Context.serve(
        requestSerializer: KSerializer<Q>,
        responseSerializer: KSerializer<R>,
        handle: (Q) -> Either<KeyValueError, R>,
    ) {
        if (delayMilliseconds > 0) Thread.sleep(delayMilliseconds)
        when (val result = handle(PlatformJson.decodeFromString(requestSerializer, body()))) {
            is Either.Right -> answer(responseSerializer, result.value)

            is Either.Left -> when (result.value) {
                is KeyValueError.Unavailable -> status(SERVICE_UNAVAILABLE)
                is KeyValueError.Rejected -> status(BAD_REQUEST_STATUS).result(result.value.message)
                is KeyValueError.OutcomeUnknown -> status(LOST_ANSWER_STATUS).breakAnswer()
            }
        }
    }

    private fun watch(context: Context) {
        if (store.isDown) {
            context.status(SERVICE_UNAVAILABLE)
            return
        }
        val create = PlatformJson.decodeFromString(GatewayWatchRequest.serializer(), context.body()).create
        val changes = LinkedBlockingQueue<StoreChange>()
        store.watch(decodeBase64(create.key)) { changes.add(it) }.use {
            try {
                context.writeLine(GatewayWatchResponse(GatewayWatchBody(created = true)))
                while (!store.isDown) context.report(changes)
            } catch (_: IOException) {
                // The client has disconnected.
            }
        }
    }

    private fun Context.report(changes: LinkedBlockingQueue<StoreChange>) {
        store.expireLeases()
        val change = changes.poll(WATCH_POLL_MILLISECONDS, TimeUnit.MILLISECONDS)
        if (change == null) {
            res().outputStream.write('\n'.code)
            res().outputStream.flush()
        } else {
            writeLine(GatewayWatchResponse(GatewayWatchBody(events = listOf(change.toGateway()))))
        }
    }

    private fun Context.writeLine(response: GatewayWatchResponse) {
        val line = PlatformJson.encodeToString(GatewayWatchResponse.serializer(), response) + "\n"
        res().outputStream.write(line.encodeToByteArray())
        res().outputStream.flush()
    }
}

private fun StoredValue.toGateway(): GatewayKeyValue = GatewayKeyValue(
    key = encodeBase64(key),
    value = encodeBase64(value),
    modRevision = modified.value.toString(),
    createRevision = created.value.toString(),
)

private fun StoreChange.toGateway(): GatewayEvent = when (val stored = value) {
    null -> GatewayEvent("DELETE", GatewayKeyValue(encodeBase64(key)))
    else -> GatewayEvent("PUT", stored.toGateway())
}
