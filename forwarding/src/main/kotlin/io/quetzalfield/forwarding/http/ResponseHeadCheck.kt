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

    private val Digit = Regex("""\d""")

    /** A status line and the name of a header, but not of a field of an event, whose text may quote a status line. */
    private val Head = Regex("""HTTP/\d\.\d \d{3}[^\r\n]*\r\n(?!data:|id:|event:|retry:)[!-9;-~]+:""")

    /** A digit stands for any of them. */
    private const val STATUS_LINE_FORM = "HTTP/0.0 000"

    /** Returns what is wrong with the head of [response]; `null` if it is a single one. */
    fun defectOf(response: HttpResponse): String? = when {
        containsStatusLine(response.status().reasonPhrase()) -> "two status lines"

        response.headers().any { (name, value) -> containsStatusLine(name) || containsStatusLine(value) } ->
            "a status line among the headers"

        else -> null
    }

    /** Whether [text] contains the head of a response. */
    fun containsHead(text: String): Boolean = Head.containsMatchIn(text)

    /** Whether [text] contains a status line. */
    fun containsStatusLine(text: CharSequence): Boolean = StatusLine.containsMatchIn(text)

    /**
     * Whether another response begins within [body], as far as it and the bytes [following] it show; its beginning may
     * itself be broken off.
     */
    fun isFilledUp(body: String, following: String): Boolean =
        containsStatusLine(body) || (1..STATUS_LINE_FORM.length).any { length ->
            body.length >= length && isStatusLinePrefix(body.takeLast(length) + following)
        }

    private fun isStatusLinePrefix(text: String): Boolean =
        STATUS_LINE_FORM.startsWith(text.take(STATUS_LINE_FORM.length).replace(Digit, "0"))
}
