package io.quetzalfield.forwarding.http

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion

/**
 * Detects a head that consists of two: the beginning of a response that was broken off and the head of the next
 * response on the same connection. A parser takes the status of the first and the remaining headers of the second.
 */
internal object ResponseHeadCheck {
    private val StatusLine = Regex("""HTTP/\d\.\d \d{3}""")
    private val Versions = setOf(HttpVersion.HTTP_1_1, HttpVersion.HTTP_1_0)

    /** Returns what is wrong with the head of [response]; `null` if it is a single one. */
    fun defectOf(response: HttpResponse): String? = when {
        response.protocolVersion() !in Versions -> "unknown version of HTTP"

        containsStatusLine(response.status().reasonPhrase()) -> "two status lines"

        response.headers().any { (name, value) -> containsStatusLine(name) || containsStatusLine(value) } ->
            "a status line among the headers"

        else -> null
    }

    /** Whether a response may begin within [text]. */
    fun containsStatusLine(text: CharSequence): Boolean = StatusLine.containsMatchIn(text)
}
