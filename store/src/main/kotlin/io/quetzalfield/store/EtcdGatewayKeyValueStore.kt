package io.quetzalfield.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.store.KeyValueError.OutcomeUnknown
import io.quetzalfield.store.KeyValueError.Rejected
import io.quetzalfield.store.KeyValueError.Unavailable
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.net.ConnectException
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** The JSON format of the platform's messages and of stored values; ignores unknown fields. */
public val PlatformJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = true
}

private val JSON_MEDIA_TYPE = "application/json".toMediaType()

/** Encodes a key or value in Base64, as the gateway requires. */
public fun encodeBase64(text: String): String = Base64.getEncoder().encodeToString(text.encodeToByteArray())

/** Decodes a key or value of the gateway from Base64. */
public fun decodeBase64(text: String): String = Base64.getDecoder().decode(text).decodeToString()

/** The first key after all keys that start with [prefix]. */
public fun prefixEnd(prefix: String): String = prefix.dropLast(1) + (prefix.last() + 1)

/**
 * A client of the JSON gateway of the etcd v3 interface.
 *
 * @param address `http://host:port` of the service.
 * @param callTimeout time after which a call's outcome counts as unknown.
 */
public class EtcdGatewayKeyValueStore(
    private val address: String,
    client: OkHttpClient = OkHttpClient(),
    callTimeout: Duration = 2.seconds,
) : KeyValueStore {
    private val callClient = client.newBuilder()
        .retryOnConnectionFailure(false)
        .addNetworkInterceptor(InvalidHeadInterceptor)
        .callTimeout(callTimeout.toJavaDuration())
        .build()
    private val watchClient = client.newBuilder()
        .retryOnConnectionFailure(false)
        .readTimeout(Duration.ZERO.toJavaDuration())
        .build()

    override fun read(key: String): Either<KeyValueError, StoredValue?> =
        range(GatewayRangeRequest(encodeBase64(key))).map(List<StoredValue>::firstOrNull)

    override fun list(prefix: String): Either<KeyValueError, List<StoredValue>> =
        range(GatewayRangeRequest(encodeBase64(prefix), encodeBase64(prefixEnd(prefix))))

    override fun compareAndSwap(
        key: String,
        expected: StoreRevision,
        value: String,
        lease: LeaseId?,
    ): Either<KeyValueError, SwapResult> {
        val put = GatewayPutRequest(encodeBase64(key), encodeBase64(value), (lease?.value ?: 0).toString())
        return transact(key, expected, GatewayOperation(put = put))
    }

    override fun compareAndDelete(key: String, expected: StoreRevision): Either<KeyValueError, SwapResult> =
        transact(key, expected, GatewayOperation(delete = GatewayDeleteRequest(encodeBase64(key))))

    override fun grantLease(timeToLive: Duration): Either<KeyValueError, LeaseId> = call(
        path = "/v3/lease/grant",
        request = GatewayLeaseGrantRequest(timeToLive.inWholeSeconds.toString()),
        serializer = GatewayLeaseGrantRequest.serializer(),
        responseSerializer = GatewayLeaseResponse.serializer(),
    ).map { LeaseId(it.id.toLong()) }

    override fun keepAlive(lease: LeaseId): Either<KeyValueError, Boolean> = call(
        path = "/v3/lease/keepalive",
        request = GatewayLeaseRequest(lease.value.toString()),
        serializer = GatewayLeaseRequest.serializer(),
        responseSerializer = GatewayKeepAliveResponse.serializer(),
    ).map { it.result.timeToLiveSeconds.toLong() > 0 }

    override fun revokeLease(lease: LeaseId): Either<KeyValueError, Unit> = call(
        path = "/v3/lease/revoke",
        request = GatewayLeaseRequest(lease.value.toString()),
        serializer = GatewayLeaseRequest.serializer(),
        responseSerializer = GatewayLeaseResponse.serializer(),
    ).map { }

    override fun watch(prefix: String, onChange: (StoreChange) -> Unit): StoreWatch =
        EtcdGatewayWatch(address, watchClient, this, prefix, onChange).apply { start() }

    private fun range(request: GatewayRangeRequest): Either<KeyValueError, List<StoredValue>> = call(
        path = "/v3/kv/range",
        request = request,
        serializer = GatewayRangeRequest.serializer(),
        responseSerializer = GatewayRangeResponse.serializer(),
    ).map { response -> response.kvs.map(GatewayKeyValue::toStoredValue) }

    private fun transact(
        key: String,
        expected: StoreRevision,
        operation: GatewayOperation,
    ): Either<KeyValueError, SwapResult> = call(
        path = "/v3/kv/txn",
        request = GatewayTransaction(
            compare = listOf(GatewayCompare(encodeBase64(key), modRevision = expected.value.toString())),
            success = listOf(operation),
            failure = listOf(GatewayOperation(range = GatewayRangeRequest(encodeBase64(key)))),
        ),
        serializer = GatewayTransaction.serializer(),
        responseSerializer = GatewayTransactionResponse.serializer(),
    ).map(GatewayTransactionResponse::toSwapResult)

    private fun <Q, R> call(
        path: String,
        request: Q,
        serializer: KSerializer<Q>,
        responseSerializer: KSerializer<R>,
    ): Either<KeyValueError, R> {
        val body = PlatformJson.encodeToString(serializer, request).toRequestBody(JSON_MEDIA_TYPE)
        val httpRequest = Request.Builder().url(address + path).post(body).build()
        return try {
            callClient.newCall(httpRequest).execute().use { response ->
                val text = response.body.string()
                when {
                    response.isSuccessful -> PlatformJson.decodeFromString(responseSerializer, text).right()
                    response.code == SERVICE_UNAVAILABLE -> Unavailable("$path answered 503").left()
                    else -> Rejected("$path answered ${response.code}: $text").left()
                }
            }
        } catch (error: ConnectException) {
            Unavailable("$path: ${error.message}").left()
        } catch (error: IOException) {
            OutcomeUnknown("$path: ${error.message}").left()
        } catch (error: SerializationException) {
            OutcomeUnknown("$path: malformed response: ${error.message}").left()
        }
    }

    private companion object {
        const val SERVICE_UNAVAILABLE = 503
    }
}

internal fun GatewayKeyValue.toStoredValue(): StoredValue = StoredValue(
    key = decodeBase64(key),
    value = decodeBase64(value),
    modified = StoreRevision(modRevision.toLong()),
    created = StoreRevision(createRevision.toLong()),
)

private fun GatewayTransactionResponse.toSwapResult(): SwapResult = if (succeeded) {
    SwapResult.Swapped(StoreRevision(header.revision.toLong()))
} else {
    SwapResult.Conflict(responses.firstOrNull()?.range?.kvs?.firstOrNull()?.toStoredValue())
}
