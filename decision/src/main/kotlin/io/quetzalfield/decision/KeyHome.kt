package io.quetzalfield.decision

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.SessionId

/**
 * The value that determines the home of a request: the session, so that all requests of a session have the same home,
 * or the request key outside sessions.
 */
@JvmInline
public value class HomeScope(public val value: String) {
    public companion object {
        /** The scope of a request with [key] in [session]. */
        public fun of(key: RequestKey, session: SessionId?): HomeScope = HomeScope(session?.value ?: key.value)
    }
}

/** Orders [entries] by their precedence as the home for [scope]; the first is the home. */
public fun homeOrder(scope: HomeScope, entries: Collection<ListedInstance>): List<ListedInstance> =
    rendezvousOrder(scope.value, entries) { it.id.value }

/**
 * Orders [entries] by their precedence as a witness of a bill of [scope] for the entry [own] in [ownDomain]: first the
 * entries of other failure domains in home order, then the other entries of [ownDomain] in home order.
 *
 * If the failure domain of the home fails, the first witness of the home becomes the home, so it recognises a key that
 * has already been billed.
 */
public fun witnessOrder(
    scope: HomeScope,
    own: InstanceId,
    ownDomain: FailureDomainId,
    entries: Collection<ListedInstance>,
): List<ListedInstance> = homeOrder(scope, entries)
    .filter { it.id != own }
    .sortedBy { it.failureDomain == ownDomain }
