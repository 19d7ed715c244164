package io.quetzalfield.model

import kotlinx.serialization.SerializationException

/**
 * Thrown when a text cannot be parsed as a scalar value.
 *
 * @property serialName name of the value's serial descriptor, by which a reader of the document locates the text.
 * @property text the text that cannot be parsed.
 * @property allowed description of the valid form.
 */
public class ScalarFormatException(
    public val serialName: String,
    public val text: String,
    public val allowed: String,
) : SerializationException("'$text' cannot be read; allowed: $allowed")
