import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** The operator takes the keys of all tenants away, one after the other. */
final class RevokedKeys extends Scenario {
    private static final String HOST = "visits.example";
    private static final double REVOKE_S = 5.0;

    public static void main(String[] arguments) {
        play(new RevokedKeys(), arguments);
    }

    @Override
    Boolean run() throws Exception {
        StoreStandIn store = new StoreStandIn();
        try (Fleet fleet = new Fleet(record, store, 2)) {
            List<RunnerStandIn> runners = new ArrayList<>();
            for (int number = 1; number <= 3; number++) {
                runners.add(new RunnerStandIn(record, store, fleet.host(3, number), "i-desk-" + number, "visit-desk",
                    "khomas-a", 6, 24));
            }
            store.put("op/config", configuration(1, tenant("alpha", "key-alpha") + "," + tenant("beta", "key-beta")));
            if (!fleet.start()) return null;
            Thread.sleep(2_000);

            List<Client.Attempt> attempts = new CopyOnWriteArrayList<>();
            List<Thread> clients = new ArrayList<>();
            double end = record.now() + 26;
            String[] keys = {"key-alpha", "key-beta", "key-never-issued", null};
            for (String key : keys) {
                for (Fleet.Machine machine : fleet.machines) {
                    Thread client = new Thread(() -> {
                        while (record.now() < end) {
                            attempts.add(new Client(record).once(machine.front(), "POST", HOST, "/book/2f", key, 2_000));
                            pause(250);
                        }
                    });
                    clients.add(client);
                    client.start();
                }
            }
            Map<String, Double> revoked = new HashMap<>();
            Thread.sleep(4_000);
            if (hasTrouble) {
                store.put("op/config", configuration(2, tenant("alpha") + "," + tenant("beta", "key-beta")));
                revoked.put("key-alpha", record.now());
                record.line("configuration 2 acknowledged: tenant alpha has no key any more");
            }
            Thread.sleep(8_000);
            if (hasTrouble) {
                store.put("op/config", configuration(3, tenant("alpha") + "," + tenant("beta")));
                revoked.put("key-beta", record.now());
                record.line("configuration 3 acknowledged: tenant beta has no key any more, either");
            }
            for (Thread client : clients) client.join();

            Map<String, RunnerStandIn.Arrival> ran = new HashMap<>();
            for (RunnerStandIn runner : runners) {
                for (RunnerStandIn.Arrival arrival : runner.arrivals) if (arrival.beganAt >= 0) ran.put(arrival.id, arrival);
            }
            int revokedRuns = 0;
            int unknownRuns = 0;
            int served = 0;
            for (Client.Attempt attempt : attempts) {
                RunnerStandIn.Arrival arrival = ran.get(attempt.id);
                Double at = attempt.key == null ? null : revoked.get(attempt.key);
                boolean isRevoked = at != null && attempt.sentAt > at + REVOKE_S;
                boolean isUnknown = attempt.key == null || attempt.key.equals("key-never-issued");
                String mark = "";
                if (arrival != null && isRevoked) {
                    revokedRuns++;
                    mark = "  << runs with a key that was taken away " + String.format("%.1f", attempt.sentAt - at) + " s before";
                }
                if (arrival != null && isUnknown) {
                    unknownRuns++;
                    mark = "  << runs with a key that no configuration ever held, or with none";
                }
                if (arrival != null && !isRevoked && !isUnknown) served++;
                record.line(attempt + (arrival == null ? " not run" : " ran at " + arrival.runner + " for tenant " + arrival.tenant) + mark);
            }
            record.line("runs with a revoked key, sent later than revoke_ms after the acknowledgement: " + revokedRuns);
            record.line("runs with a key that no configuration ever held, or with none: " + unknownRuns);
            record.line("proper requests that ran: " + served);
            if (served < 20) return null;
            return revokedRuns > 0 || unknownRuns > 0;
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException error) {
            Thread.currentThread().interrupt();
        }
    }
}
