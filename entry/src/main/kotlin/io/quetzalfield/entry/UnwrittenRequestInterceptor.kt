package io.quetzalfield.entry

import okhttp3.Interceptor
import okhttp3.MediaType
import okhttp3.RequestBody
import okhttp3.Response
import okio.BufferedSink
import java.io.IOException

/**
 * Fails a call whose response may be a part only. OkHttp reads the response also when the request could not be written,
 * and takes the end of the connection for the end of a body without length. After a reset that a write has met, reads
 * report an orderly end.
 */
internal object UnwrittenRequestInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val sent = request.body?.let(::SentBody)
        val response = chain.proceed(request.newBuilder().method(request.method, sent).build())
        if (sent?.hasFailed == true && !response.isFramed) {
            response.close()
            throw IOException("the connection failed before a response without length had ended")
        }
        return response
    }

    private val Response.isFramed: Boolean
        get() = body.contentLength() >= 0 || header("Transfer-Encoding").equals("chunked", ignoreCase = true)
}

/** A [body] that records whether it could not be written. */
private class SentBody(private val body: RequestBody) : RequestBody() {
    var hasFailed = false
        private set

    override fun contentType(): MediaType? = body.contentType()

    override fun contentLength(): Long = body.contentLength()

    override fun writeTo(sink: BufferedSink) {
        try {
            body.writeTo(sink)
            // Bytes that stay in the sink would be written, and might fail, after this call.
            sink.flush()
        } catch (error: IOException) {
            hasFailed = true
            throw error
        }
    }
}
