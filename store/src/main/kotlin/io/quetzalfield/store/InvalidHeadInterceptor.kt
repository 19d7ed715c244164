package io.quetzalfield.store

import okhttp3.Interceptor
import okhttp3.Response
import java.net.ProtocolException

/**
 * Fails a call whose response has a head that is not valid HTTP, with a [ProtocolException].
 *
 * OkHttp takes any number for a status, and any text before a colon for the name of a field, so it may miss a field
 * that frames the body.
 */
public object InvalidHeadInterceptor : Interceptor {
    private val ValidStatuses = 100..599

    /** The characters beside letters and digits of which RFC 9110 lets a token consist. */
    private const val TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~"

    override fun intercept(chain: Interceptor.Chain): Response {
        val response = chain.proceed(chain.request())
        val defect = defectOf(response) ?: return response
        response.close()
        throw ProtocolException("the response is not valid: $defect")
    }

    private fun defectOf(response: Response): String? = when {
        response.code !in ValidStatuses -> "the status is not between 100 and 599"
        !response.headers.names().all(::isToken) -> "a field name is not a token"
        else -> null
    }

    private fun isToken(name: String) = name.isNotEmpty() && name.all { it.isAsciiLetterOrDigit || it in TOKEN_SYMBOLS }

    private val Char.isAsciiLetterOrDigit get() = this in 'a'..'z' || this in 'A'..'Z' || this in '0'..'9'
}
