package io.quetzalfield.forwarding.http

import io.netty.handler.codec.http.HttpResponse

/**
 * Detects two responses that were read as one.
 *
 * A head may consist of two: the beginning of a response that was broken off and the head of the next response on the
 * same connection. A parser takes the status of the first and the remaining headers of the second.
 */
internal object ResponseHeadCheck {
    /** Returns what is wrong with the head of [response]; `null` if it is a single one. */
    fun defectOf(response: HttpResponse): String? = when {
        containsStatusLine(response.status().reasonPhrase()) -> "two status lines"

        response.headers().any { (name, value) -> containsStatusLine(name) || containsStatusLine(value) } ->
            "a status line among the headers"

        else -> null
    }

    private fun containsStatusLine(text: String): Boolean =
        ResponseHeadDetector().also { text.forEach(it::accept) }.containsStatusLine
}
