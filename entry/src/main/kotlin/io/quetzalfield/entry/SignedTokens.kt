package io.quetzalfield.entry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.nimbusds.jose.JOSEException
import com.nimbusds.jose.JWSAlgorithm
import com.nimbusds.jose.JWSHeader
import com.nimbusds.jose.JWSObject
import com.nimbusds.jose.Payload
import com.nimbusds.jose.crypto.MACSigner
import com.nimbusds.jose.crypto.MACVerifier
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.ListsSnapshot
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.SessionId
import io.quetzalfield.model.SigningKey
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.text.ParseException

/**
 * The content of a session token: it pins the session to [version] from start to end, at any entry and after any crash.
 *
 * @property openedAtEpochMilliseconds wall-clock time at which the session was opened.
 */
@Serializable
public data class SessionPin(
    val session: SessionId,
    val account: ClientAccountId,
    val version: ModelVersionReference,
    val revision: ListsRevision,
    val openedAtEpochMilliseconds: Long,
)

/**
 * The content of a ticket: the right to one non-idempotent operation of [account], which only [incarnation] may run.
 *
 * @property number unique among the tickets of the incarnation.
 */
@Serializable
public data class Ticket(val account: ClientAccountId, val incarnation: Incarnation, val number: Long)

/** Why a token was not accepted. */
public data class TokenError(val message: String)

/**
 * Signs and verifies tokens as JSON Web Signatures with HMAC-SHA-256. The first signing key of the lists signs;
 * any of them verifies, so that keys can be rotated.
 *
 * @param type the kind of token; a token of another kind is rejected.
 */
public class SignedTokens<T>(private val type: String, private val serializer: KSerializer<T>) {
    /** Signs [value]; fails if the lists have no signing key. */
    public fun sign(value: T, snapshot: ListsSnapshot): Either<TokenError, String> {
        val key = snapshot.signingKeys.firstOrNull() ?: return TokenError("the lists have no signing key").left()
        val header = JWSHeader.Builder(JWSAlgorithm.HS256).keyID(key.id).customParam(TYPE_PARAMETER, type).build()
        val token = JWSObject(header, Payload(Json.encodeToString(serializer, value)))
        token.sign(MACSigner(key.secret))
        return token.serialize().right()
    }

    /** Reads [text]; fails unless it is a token of this type that one of the lists' keys has signed. */
    public fun verify(text: String, snapshot: ListsSnapshot): Either<TokenError, T> = try {
        val token = JWSObject.parse(text)
        val key = snapshot.signingKeys.firstOrNull { it.id == token.header.keyID }
        when {
            key == null -> TokenError("signed with an unknown key").left()
            token.header.getCustomParam(TYPE_PARAMETER) != type -> TokenError("this is no $type").left()
            !token.isSignedBy(key) -> TokenError("the signature is wrong").left()
            else -> Json.decodeFromString(serializer, token.payload.toString()).right()
        }
    } catch (error: ParseException) {
        TokenError("unreadable: ${error.message}").left()
    } catch (error: JOSEException) {
        TokenError("cannot be verified: ${error.message}").left()
    } catch (error: SerializationException) {
        TokenError("unreadable content: ${error.message}").left()
    }

    private fun JWSObject.isSignedBy(key: SigningKey): Boolean = verify(MACVerifier(key.secret))

    private companion object {
        const val TYPE_PARAMETER = "kind"
    }
}
