package io.quetzalfield.model

import kotlinx.serialization.SerializationException

/**
 * A text that cannot be read as the value it should be.
 *
 * @property serialName name of the serial descriptor of that value, by which a reader finds where the text stands.
 * @property allowed what would be right.
 */
public class ScalarFormatException(
    public val serialName: String,
    public val text: String,
    public val allowed: String,
) : SerializationException("'$text' cannot be read; allowed: $allowed")
