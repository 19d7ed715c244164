package io.quetzalfield.entry

import io.quetzalfield.decision.CascadeSettings
import io.quetzalfield.decision.DecisionWeights
import io.quetzalfield.decision.LearningRouting
import io.quetzalfield.model.Incarnation
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.store.fakes.InMemoryRatingService
import okhttp3.OkHttpClient
import kotlin.random.Random

/** Creates the control of an entry that depends on no platform service. */
internal fun controlOf(
    incarnation: Incarnation,
    lists: ListsHolder,
    fleet: FleetView,
    peers: PeerClients,
): EntryControl = EntryControl(
    incarnation = incarnation,
    lists = lists,
    fleet = fleet,
    loads = RunnerLoadTracker(incarnation.instance, fleet, OkHttpClient()),
    peers = peers,
    metrics = EntryMetrics(),
    ratingService = InMemoryRatingService(),
    routing = learningRouting(),
    allowance = { 1_000_000.0 },
)

/** Creates learning routing with a fixed seed. */
internal fun learningRouting(): LearningRouting =
    LearningRouting(CascadeSettings(DecisionWeights.WateringAdvice), Random(1))

/** Creates a peer service that witnesses bills and ignores forwarded requests. */
internal fun peerServiceOf(lists: ListsHolder, control: EntryControl): EntryPeerService = EntryPeerService(
    lists = lists,
    witnessedBills = WitnessedBills(BilledKeys()),
    forwarded = { _, _ -> },
    control = control,
)
