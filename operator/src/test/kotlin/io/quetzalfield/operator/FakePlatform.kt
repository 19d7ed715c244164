package io.quetzalfield.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.InstanceKind
import io.quetzalfield.model.ListedInstance
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.RequestId
import io.quetzalfield.store.fakes.InMemoryInstanceDirectory
import io.quetzalfield.store.fakes.InMemoryKeyValueStore
import io.quetzalfield.support.status.DaemonStatus
import io.quetzalfield.support.status.RequestExplanation
import kotlinx.serialization.json.JsonPrimitive

/** An in-memory platform whose entries answer as the test configures them. */
internal class FakePlatform : DaemonClient {
    val store = InMemoryKeyValueStore()
    val directory = InMemoryInstanceDirectory()
    val revisions = mutableMapOf<InstanceId, () -> ListsRevision?>()
    val explanations = mutableMapOf<RequestId, RequestExplanation>()
    val connector = PlatformConnector { PlatformConnection(store, directory, this) }

    /** Lists a live entry that reports the revision returned by [revision]; `null` means no answer. */
    fun addEntry(name: String, revision: () -> ListsRevision?) {
        val id = InstanceId(name)
        revisions[id] = revision
        directory.announce(ListedInstance(id, InstanceKind.ENTRY, "http://$name", FailureDomainId("domain-1")))
    }

    /** The revision of the stored lists. */
    fun storedRevision(): ListsRevision = checkNotNull(ListsStore(store).read().getOrNull()?.lists).revision

    override fun status(daemon: ListedInstance): Either<DaemonError, DaemonStatus> {
        val revision = revisions[daemon.id]?.invoke() ?: return DaemonError("no answer").left()
        val sections = mapOf("sessions opened" to JsonPrimitive(3))
        return DaemonStatus(daemon.kind, Incarnation(daemon.id, "a"), revision, sections).right()
    }

    override fun explanation(daemon: ListedInstance, request: RequestId): Either<DaemonError, RequestExplanation?> =
        explanations[request].right()
}
