package io.quetzalfield.decision

private const val FNV_OFFSET_BASIS = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val FIRST_MULTIPLIER = -0x40a7b892e31b1a47L
private const val SECOND_MULTIPLIER = -0x6b2fb644ecceee15L
private const val BYTE_MASK = 0xffL
private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27
private const val THIRD_SHIFT = 31

/** Computes a 64-bit hash of [text] that is the same in every process: FNV-1a with the finaliser of SplitMix64. */
public fun stableHash(text: String): Long {
    var hash = FNV_OFFSET_BASIS
    for (byte in text.encodeToByteArray()) hash = (hash xor (byte.toLong() and BYTE_MASK)) * FNV_PRIME
    hash = (hash xor (hash ushr FIRST_SHIFT)) * FIRST_MULTIPLIER
    hash = (hash xor (hash ushr SECOND_SHIFT)) * SECOND_MULTIPLIER
    return hash xor (hash ushr THIRD_SHIFT)
}

/**
 * Orders [members] for [key] by rendezvous hashing (Thaler and Ravishankar, 1998). Every process with the same members
 * gets the same order, and the removal of a member changes the first member only for the keys that had it first.
 */
public fun <T> rendezvousOrder(key: String, members: Collection<T>, name: (T) -> String): List<T> =
    members.sortedByDescending { member -> stableHash("$key|${name(member)}") }
