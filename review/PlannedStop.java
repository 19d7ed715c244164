import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** The platform stops the machines in turn, with SIGTERM, and starts them again. */
final class PlannedStop extends Scenario {
    private static final String HOST = "visits.example";
    private static final double GRACE_S = 8.0;
    private static final int MACHINES = 4;
    private static final int CLIENTS = 96;
    private volatile boolean isOver;

    /** The stops of each machine: its address and the time of the SIGTERM. */
    private final Map<String, List<Double>> stops = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        play(new PlannedStop(), arguments);
    }

    @Override
    Boolean run() throws Exception {
        StoreStandIn store = new StoreStandIn();
        try (Fleet fleet = new Fleet(record, store, MACHINES)) {
            List<RunnerStandIn> runners = new ArrayList<>();
            for (int number = 1; number <= 10; number++) {
                RunnerStandIn runner = new RunnerStandIn(record, store, fleet.host(3, number), "i-desk-" + number,
                    "visit-desk", "khomas-a", 6, 24);
                runner.workFromMs = 20;
                runner.workToMs = 65;
                runners.add(runner);
            }
            store.put("op/config", configuration(1, tenant("alpha", "key-alpha")));
            if (!fleet.start()) return null;
            Thread.sleep(2_000);

            List<Client.Attempt> attempts = new CopyOnWriteArrayList<>();
            List<Thread> clients = new ArrayList<>();
            for (int number = 0; number < CLIENTS; number++) {
                int patience = number % 2 == 0 ? 1 : 3;
                Thread client = new Thread(() -> book(fleet, patience, attempts));
                clients.add(client);
                client.start();
            }
            double end = record.now() + 85;
            if (!hasTrouble) Thread.sleep(30_000);
            for (int turn = 0; hasTrouble && record.now() < end; turn++) {
                Fleet.Machine machine = fleet.machines.get(turn % MACHINES);
                stops.computeIfAbsent(machine.front(), address -> new CopyOnWriteArrayList<>()).add(record.now());
                machine.signal("TERM");
                machine.awaitEnd(GRACE_S);
                machine.start();
                if (!machine.awaitReady(15)) return null;
                Thread.sleep(300);
            }
            isOver = true;
            for (Thread client : clients) client.join();
            return judge(attempts, runners);
        }
    }

    /** One client: asks for addresses, keeps them for [patience] times their validity, and books on new connections. */
    private void book(Fleet fleet, int patience, List<Client.Attempt> attempts) {
        Random random = new Random();
        Client client = new Client(record);
        List<String> addresses = List.of();
        double validUntil = 0;
        while (!isOver) {
            if (record.now() >= validUntil) {
                List<String> found = List.of();
                for (int attempt = 0; attempt < 3 && found.isEmpty(); attempt++) {
                    found = Client.resolve(fleet.machines.get(random.nextInt(MACHINES)).directory(), HOST, "khomas-a");
                }
                if (!found.isEmpty()) {
                    addresses = new ArrayList<>(found);
                    validUntil = record.now() + patience * 1.0;
                }
            }
            if (!addresses.isEmpty()) {
                String address = addresses.get(random.nextInt(addresses.size()));
                Client.Attempt attempt = client.once(address, "POST", HOST, "/book/2f", "key-alpha", 1_000);
                attempts.add(attempt);
                if (!attempt.isConnected) addresses.remove(address);
            }
            pause(40 + random.nextInt(60));
        }
    }

    private Boolean judge(List<Client.Attempt> attempts, List<RunnerStandIn> runners) {
        Map<String, RunnerStandIn.Arrival> arrived = new HashMap<>();
        for (RunnerStandIn runner : runners) {
            for (RunnerStandIn.Arrival arrival : runner.arrivals) arrived.put(arrival.id, arrival);
        }
        int lost = 0;
        int served = 0;
        int lostElsewhere = 0;
        for (Client.Attempt attempt : attempts) {
            if (attempt.status == 200) served++;
            RunnerStandIn.Arrival arrival = arrived.get(attempt.id);
            Double stop = stopBefore(attempt);
            String mark = "";
            if (attempt.status == 0 && arrival != null) {
                boolean isLate = stop != null && (arrival.endedAt < 0 || arrival.endedAt > stop + GRACE_S * 5 / 6);
                if (stop == null) {
                    lostElsewhere++;
                } else if (!isLate) {
                    lost++;
                    mark = String.format(Locale.ROOT, "  << passed on, sent %.3f s after the SIGTERM, and the connection ended without an answer",
                        attempt.sentAt - stop);
                }
            }
            if (attempt.status != 200) {
                record.line(attempt + (attempt.isConnected ? "" : " (not connected)")
                    + (arrival == null ? " not at a runner" : " at " + arrival.runner + " (" + arrival.end + ")")
                    + (stop == null ? "" : String.format(Locale.ROOT, " stop %.3f", stop)) + mark);
            }
        }
        int count = stops.values().stream().mapToInt(List::size).sum();
        record.line("stops: " + count + "; bookings sent: " + attempts.size() + "; served: " + served);
        record.line("bookings that were passed on to a runner and whose connection ended without an answer around a stop: " + lost);
        record.line("the same away from any stop: " + lostElsewhere);
        if (served < 500) return null;
        return lost > 0 || lostElsewhere > 0;
    }

    /** The stop of the attempt's machine during whose grace the attempt was sent; `null` if there is none. */
    private Double stopBefore(Client.Attempt attempt) {
        Double found = null;
        for (Double stop : stops.getOrDefault(attempt.address, List.of())) {
            if (attempt.endedAt >= stop && attempt.sentAt <= stop + GRACE_S + 1) found = stop;
        }
        return found;
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException error) {
            Thread.currentThread().interrupt();
        }
    }
}
