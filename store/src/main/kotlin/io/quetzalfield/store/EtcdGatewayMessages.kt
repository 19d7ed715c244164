package io.quetzalfield.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/*
 * Messages of the JSON gateway of the etcd v3 interface, as far as this project uses it. Keys and values are base64,
 * 64-bit numbers are strings.
 */

@Serializable
public data class GatewayKeyValue(
    val key: String,
    val value: String = "",
    @SerialName("mod_revision") val modRevision: String = "0",
    @SerialName("create_revision") val createRevision: String = "0",
    val lease: String = "0",
)

@Serializable
public data class GatewayHeader(val revision: String = "0")

@Serializable
public data class GatewayRangeRequest(val key: String, @SerialName("range_end") val rangeEnd: String? = null)

@Serializable
public data class GatewayRangeResponse(
    val header: GatewayHeader = GatewayHeader(),
    val kvs: List<GatewayKeyValue> = emptyList(),
)

@Serializable
public data class GatewayPutRequest(val key: String, val value: String, val lease: String = "0")

@Serializable
public data class GatewayDeleteRequest(val key: String)

@Serializable
public data class GatewayCompare(
    val key: String,
    val target: String = "MOD",
    val result: String = "EQUAL",
    @SerialName("mod_revision") val modRevision: String,
)

@Serializable
public data class GatewayOperation(
    @SerialName("request_put") val put: GatewayPutRequest? = null,
    @SerialName("request_delete_range") val delete: GatewayDeleteRequest? = null,
    @SerialName("request_range") val range: GatewayRangeRequest? = null,
)

@Serializable
public data class GatewayTransaction(
    val compare: List<GatewayCompare>,
    val success: List<GatewayOperation>,
    val failure: List<GatewayOperation>,
)

@Serializable
public data class GatewayOperationResponse(@SerialName("response_range") val range: GatewayRangeResponse? = null)

@Serializable
public data class GatewayTransactionResponse(
    val header: GatewayHeader = GatewayHeader(),
    val succeeded: Boolean = false,
    val responses: List<GatewayOperationResponse> = emptyList(),
)

@Serializable
public data class GatewayLeaseGrantRequest(@SerialName("TTL") val timeToLiveSeconds: String)

@Serializable
public data class GatewayLeaseRequest(@SerialName("ID") val id: String)

@Serializable
public data class GatewayLeaseResponse(
    @SerialName("ID") val id: String = "0",
    @SerialName("TTL") val timeToLiveSeconds: String = "0",
)

@Serializable
public data class GatewayKeepAliveResponse(val result: GatewayLeaseResponse = GatewayLeaseResponse())

@Serializable
public data class GatewayWatchCreate(
    val key: String,
    @SerialName("range_end") val rangeEnd: String,
    @SerialName("start_revision") val startRevision: String = "0",
)

@Serializable
public data class GatewayWatchRequest(@SerialName("create_request") val create: GatewayWatchCreate)

@Serializable
public data class GatewayEvent(val type: String = "PUT", val kv: GatewayKeyValue)

@Serializable
public data class GatewayWatchBody(
    val header: GatewayHeader = GatewayHeader(),
    val created: Boolean = false,
    val events: List<GatewayEvent> = emptyList(),
)

@Serializable
public data class GatewayWatchResponse(val result: GatewayWatchBody = GatewayWatchBody())
