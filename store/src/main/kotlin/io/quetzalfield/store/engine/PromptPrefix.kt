package io.quetzalfield.store.engine

import java.nio.ByteBuffer
import java.security.MessageDigest

/**
 * The hash of a prompt's prefix, as engines name it in their cache events: the first eight bytes of the SHA-256 digest
 * of the first message, which all requests of a conversation share.
 */
public val ChatCompletionRequest.prefixHash: Long
    get() {
        val first = messages.firstOrNull()?.content.orEmpty()
        return ByteBuffer.wrap(MessageDigest.getInstance("SHA-256").digest(first.encodeToByteArray())).long
    }
