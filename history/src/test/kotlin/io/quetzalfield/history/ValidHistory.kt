package io.quetzalfield.history

import io.quetzalfield.history.CallerOutcome.Answered
import io.quetzalfield.history.HistoryEvent.BillsStored
import io.quetzalfield.history.HistoryEvent.EndpointCold
import io.quetzalfield.history.HistoryEvent.EvacuationEnded
import io.quetzalfield.history.HistoryEvent.EvacuationOrdered
import io.quetzalfield.history.HistoryEvent.LeavingAnnounced
import io.quetzalfield.history.HistoryEvent.ListsAccepted
import io.quetzalfield.history.HistoryEvent.RequestArrived
import io.quetzalfield.history.HistoryEvent.RequestEnded
import io.quetzalfield.history.HistoryEvent.RequestSent
import io.quetzalfield.history.HistoryEvent.RevisionSeen
import io.quetzalfield.history.HistoryEvent.RunStarted
import io.quetzalfield.history.HistoryEvent.SessionOpened
import io.quetzalfield.history.HistoryEvent.ShutdownEnded
import io.quetzalfield.history.HistoryEvent.ShutdownStarted
import io.quetzalfield.model.AttemptId
import io.quetzalfield.model.ClientAccount
import io.quetzalfield.model.ClientAccountId
import io.quetzalfield.model.ClientPlanList
import io.quetzalfield.model.FailureDomainId
import io.quetzalfield.model.Incarnation
import io.quetzalfield.model.InstanceId
import io.quetzalfield.model.ListsRevision
import io.quetzalfield.model.Model
import io.quetzalfield.model.ModelId
import io.quetzalfield.model.ModelList
import io.quetzalfield.model.ModelVersion
import io.quetzalfield.model.ModelVersionReference
import io.quetzalfield.model.OperatorLists
import io.quetzalfield.model.Plan
import io.quetzalfield.model.PlanId
import io.quetzalfield.model.PlanPermission
import io.quetzalfield.model.RequestId
import io.quetzalfield.model.RequestKey
import io.quetzalfield.model.SessionId
import io.quetzalfield.model.VersionId
import io.quetzalfield.model.VersionState

internal val workshop = ClientAccountId("workshop")
internal val entryOne = Incarnation(InstanceId("entry-1"), "a")
internal val entryTwo = Incarnation(InstanceId("entry-2"), "b")
internal val versionOne = ModelVersionReference(ModelId("advisor"), VersionId("1"))
internal val versionTwo = ModelVersionReference(ModelId("advisor"), VersionId("2"))
internal val versionThree = ModelVersionReference(ModelId("advisor"), VersionId("3"))

/** Plan `bench` may use versions 1 and 2; revision 2 withdraws version 1. */
internal fun lists(revision: Long, stateOfOne: VersionState = VersionState.SERVING): OperatorLists = OperatorLists(
    revision = ListsRevision(revision),
    plans = ClientPlanList(
        plans = listOf(Plan(PlanId("bench"), qualityTarget = 0.8)),
        accounts = listOf(ClientAccount(workshop, PlanId("bench"), emptyList(), tokensPerMinute = 0)),
    ),
    models = ModelList(
        models = listOf(
            Model(
                ModelId("advisor"),
                listOf(versionOne to stateOfOne, versionTwo to VersionState.SERVING).map { (reference, state) ->
                    ModelVersion(reference.version, state, costPerThousandTokens = 1.0, priorQuality = 0.9)
                },
            ),
        ),
        permissions = listOf(PlanPermission(PlanId("bench"), listOf(versionOne, versionTwo))),
    ),
)

internal fun at(milliseconds: Long) = HistoryTime(milliseconds)

internal fun sent(
    time: Long,
    request: String,
    key: String = request,
    entry: Incarnation = entryOne,
    session: String? = null,
    operation: RequestOperation = RequestOperation.COMPLETION,
) = RequestSent(
    at = at(time),
    request = RequestId(request),
    account = workshop,
    entry = entry,
    key = RequestKey(key),
    operation = operation,
    session = session?.let(::SessionId),
    expectedAnswer = "answer to $key",
)

internal fun ran(time: Long, key: String, version: ModelVersionReference? = versionTwo, runner: String = "runner-1") =
    RunStarted(at(time), InstanceId(runner), AttemptId("$key-$time"), RequestKey(key), version)

internal fun ended(time: Long, request: String, outcome: CallerOutcome) =
    RequestEnded(at(time), RequestId(request), outcome)

internal fun answered(key: String, isBilled: Boolean = true, version: ModelVersionReference = versionTwo) =
    Answered("answer to $key", version, isBilled, priceMicros = 10)

internal fun seen(time: Long, entry: Incarnation, revision: Long) =
    RevisionSeen(at(time), entry, ListsRevision(revision))

internal fun billed(answers: Long, priceMicros: Long = answers * 10) =
    BillsStored(at(40_000), workshop, answers, priceMicros)

internal fun arrived(
    time: Long,
    endpoint: String,
    domain: String,
    entry: Incarnation = entryOne,
    sentAt: Long = time - 10,
) = RequestArrived(at(time), InstanceId(endpoint), FailureDomainId(domain), entry, at(sentAt))

/** A history in which every promise has a case and holds. */
internal val validEvents: List<HistoryEvent> = listOf(
    ListsAccepted(at(0), lists(1)),
    SessionOpened(at(6_000), SessionId("s"), versionOne),
    sent(6_100, "one", session = "s"),
    ran(6_200, "one", versionOne),
    ended(6_300, "one", answered("one", version = versionOne)),
    seen(6_400, entryOne, 1),
    seen(6_400, entryTwo, 1),
    ListsAccepted(at(10_000), lists(2, VersionState.WITHDRAWN)),
    seen(16_000, entryOne, 2),
    seen(16_000, entryTwo, 2),
    LeavingAnnounced(at(17_000), InstanceId("runner-2")),
    sent(21_000, "two"),
    ran(21_100, "two"),
    ended(21_200, "two", answered("two")),
    sent(21_300, "two-again", key = "two", entry = entryTwo),
    ran(21_400, "two"),
    ended(21_500, "two-again", answered("two", isBilled = false)),
    sent(22_000, "refused"),
    ended(22_100, "refused", CallerOutcome.NotRun("overloaded")),
    sent(23_000, "booking", operation = RequestOperation.NON_IDEMPOTENT_OPERATION),
    ran(23_100, "booking", version = null, runner = "service-1"),
    ended(23_200, "booking", Answered("answer to booking")),
    sent(30_000, "last"),
    ShutdownStarted(at(30_050), entryOne),
    ran(30_100, "last"),
    ended(30_500, "last", answered("last")),
    ShutdownEnded(at(31_000), entryOne),
    billed(answers = 3),
    EvacuationOrdered(at(31_000), FailureDomainId("east")),
    arrived(35_990, "runner-3", "east"),
    arrived(36_100, "runner-4", "west"),
    EvacuationEnded(at(50_000), FailureDomainId("east")),
    EndpointCold(at(50_000), InstanceId("runner-3"), until = at(55_000), requestsPerSecond = 3),
    arrived(50_100, "runner-3", "east", sentAt = 49_999),
    arrived(50_200, "runner-3", "east"),
    arrived(50_300, "runner-3", "east", entryTwo),
    arrived(50_400, "runner-3", "east"),
    arrived(51_190, "runner-3", "east", entryTwo),
    arrived(55_000, "runner-3", "east"),
    arrived(55_001, "runner-3", "east"),
)
