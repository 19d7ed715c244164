package io.quetzalfield.store

/** The key of both lists with their revision; docs/STATE.md lists all keys. */
public const val LISTS_KEY: String = "lists/head"
