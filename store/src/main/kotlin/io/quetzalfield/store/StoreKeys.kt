package io.quetzalfield.store

/** The key of the plan and model lists with their revision; docs/STATE.md lists all keys. */
public const val LISTS_KEY: String = "lists/head"
