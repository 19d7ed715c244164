package io.quetzalfield.forwarding.http

import io.netty.handler.codec.http.HttpResponse

/**
 * Detects two responses that were read as one.
 *
 * A head may consist of two: the beginning of a response that was broken off and the head of the next response on the
 * same connection. A parser takes the status of the first and the remaining headers of the second. A body that was
 * broken off may be filled up with the beginning of the next response.
 */
internal object ResponseHeadCheck {
    private val StatusLine = Regex("""HTTP/\d\.\d \d{3}""")

    /** Returns what is wrong with the head of [response]; `null` if it is a single one. */
    fun defectOf(response: HttpResponse): String? = when {
        containsStatusLine(response.status().reasonPhrase()) -> "two status lines"

        response.headers().any { (name, value) -> containsStatusLine(name) || containsStatusLine(value) } ->
            "a status line among the headers"

        else -> null
    }

    /** Whether another response begins within [body], as far as it and the bytes [following] it show. */
    fun isFilledUp(body: String, following: String): Boolean =
        StatusLine.find(body + following)?.let { it.range.first < body.length } ?: false

    private fun containsStatusLine(text: CharSequence): Boolean = StatusLine.containsMatchIn(text)
}
