package io.quetzalfield.entry

import io.quetzalfield.model.Incarnation
import io.quetzalfield.peer.PeerClients
import io.quetzalfield.platform.fakes.InMemoryRatingService
import okhttp3.OkHttpClient

/** The control of an entry without any platform service behind it. */
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
)

/** A peer service that witnesses bills and takes no forwarded requests. */
internal fun peerServiceOf(lists: ListsHolder, control: EntryControl): EntryPeerService = EntryPeerService(
    lists = lists,
    witnessedBills = WitnessedBills(BilledKeys()),
    forwarded = { _, _ -> },
    control = control,
)
