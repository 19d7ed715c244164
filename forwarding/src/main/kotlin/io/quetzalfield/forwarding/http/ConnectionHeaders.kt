package io.quetzalfield.forwarding.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders

/** Hop-by-hop headers, which are never forwarded; in lower case. */
public val ConnectionHeaders: Set<String> = setOf(
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
)

/** The headers that a message names in its Connection header as hop-by-hop; in lower case. */
public fun headersNamedByConnection(headers: HttpHeaders): Set<String> =
    headers.getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
