package io.quetzalfield.decision

import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.SessionId

/**
 * What the home of a request is chosen by: the session, so that all requests of a session have one home, or else the
 * request key.
 */
@JvmInline
public value class HomeScope(public val value: String) {
    public companion object {
        /** The scope of a request with [key] in [session]. */
        public fun of(key: RequestKey, session: SessionId?): HomeScope = HomeScope(session?.value ?: key.value)
    }
}

/** [entries] in the order in which they are the home for [scope]; the first is the home. */
public fun homeOrder(scope: HomeScope, entries: Collection<ListedInstance>): List<ListedInstance> =
    rendezvousOrder(scope.value, entries) { it.id.value }

/**
 * [entries] in the order in which they are asked to witness a bill of [scope] for the entry [own] in [ownDomain]: the
 * home order, first without the own failure domain, then the others of that domain.
 *
 * The first witness of the home is also the first home after the home's failure domain has failed, so that it
 * recognises a key that was billed before.
 */
public fun witnessOrder(
    scope: HomeScope,
    own: InstanceId,
    ownDomain: FailureDomainId,
    entries: Collection<ListedInstance>,
): List<ListedInstance> = homeOrder(scope, entries)
    .filter { it.id != own }
    .sortedBy { it.failureDomain == ownDomain }
