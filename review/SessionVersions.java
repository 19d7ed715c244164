import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** The platform stops the machines in turn, with SIGTERM, while a good version of a service is brought in. */
final class SessionVersions extends Scenario {
    private static final String HOST = "visits.example";
    private static final String SERVICE = "plant-advisor";
    private static final double CONTACT_S = 3.0;
    private static final double SESSION_S = 5.0;
    private static final double GRACE_S = 8.0;
    private static final double RAMP_S = 24.0;
    private static final int ROLLOUTS = 3;
    private static final int MACHINES = 2;
    private static final int SESSIONS = 42;
    private volatile boolean isOver;

    /** When each version was ordered. */
    private final Map<String, Double> orders = new ConcurrentHashMap<>();

    /** Spans in which a machine's process ran and had no SIGTERM: start and end, by the address of the machine. */
    private final Map<String, List<double[]>> calm = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        play(new SessionVersions(), arguments);
    }

    @Override
    Boolean run() throws Exception {
        StoreStandIn store = new StoreStandIn();
        try (Fleet fleet = new Fleet(record, store, MACHINES)) {
            List<RunnerStandIn> runners = new ArrayList<>();
            addRunners(fleet, store, runners, "v1", 1);
            store.put("op/config", configuration(1, tenant("alpha", "key-alpha")));
            for (Fleet.Machine machine : fleet.machines) beginCalm(machine);
            if (!fleet.start()) return null;
            Thread.sleep(1_500);

            Map<Integer, List<Client.Attempt>> sessions = new HashMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int number = 0; number < SESSIONS; number++) {
                List<Client.Attempt> attempts = new CopyOnWriteArrayList<>();
                sessions.put(number, attempts);
                String session = "s-" + Integer.toHexString(new Random().nextInt());
                Thread client = new Thread(() -> converse(fleet, session, attempts));
                clients.add(client);
                client.start();
            }
            Thread.sleep(5_000);

            for (int turn = 1; turn <= ROLLOUTS; turn++) {
                if (!bringIn(fleet, store, runners, turn)) return null;
            }
            isOver = true;
            for (Thread client : clients) client.join();
            return judge(sessions, runners);
        }
    }

    /** Brings in the next version, and stops the machines in turn during the first half of the time for it. */
    private boolean bringIn(Fleet fleet, StoreStandIn store, List<RunnerStandIn> runners, int turn) throws Exception {
        String target = "v" + (turn + 1);
        List<RunnerStandIn> old = new ArrayList<>(runners.subList(runners.size() - 4, runners.size()));
        addRunners(fleet, store, runners, target, turn * 10 + 1);
        double orderedAt = record.now();
        orders.put(target, orderedAt);
        store.put("op/rollout/" + SERVICE, "{\"service\":\"" + SERVICE + "\",\"target\":\"" + target + "\",\"ramp_s\":" + (int) RAMP_S + "}");
        record.line("order: " + SERVICE + " to " + target + " within " + RAMP_S + " s");
        Thread.sleep(3_200);
        for (Fleet.Machine machine : fleet.machines) {
            if (!hasTrouble || record.now() > orderedAt + RAMP_S / 2) break;
            endCalm(machine);
            machine.signal("TERM");
            machine.awaitEnd(GRACE_S);
            beginCalm(machine);
            machine.start();
            if (!machine.awaitReady(15)) return false;
            Thread.sleep(300);
        }
        while (record.now() < orderedAt + RAMP_S + 1) {
            String status = store.text("status/rollout/" + SERVICE);
            if (status != null && status.contains(target) && status.contains("complete")) break;
            Thread.sleep(20);
        }
        record.line("status of the roll-out: " + store.text("status/rollout/" + SERVICE));
        for (RunnerStandIn runner : old) runner.end();
        Thread.sleep((long) (SESSION_S * 1_000) + 2_000);
        return true;
    }

    private void addRunners(Fleet fleet, StoreStandIn store, List<RunnerStandIn> runners, String version, int first)
        throws java.io.IOException {
        for (int number = first; number < first + 4; number++) {
            RunnerStandIn runner = new RunnerStandIn(record, store, fleet.host(3, number), "i-plan-" + number, SERVICE,
                "khomas-a", 64, 134, version);
            runner.events = 10;
            runner.workFromMs = 40;
            runner.workToMs = 120;
            runners.add(runner);
        }
    }

    private void beginCalm(Fleet.Machine machine) {
        calm.computeIfAbsent(machine.front(), address -> new CopyOnWriteArrayList<>()).add(new double[] {record.now(), Double.MAX_VALUE});
    }

    private void endCalm(Fleet.Machine machine) {
        List<double[]> spans = calm.get(machine.front());
        spans.get(spans.size() - 1)[1] = record.now();
    }

    private boolean isInTouch(String address, double from, double to) {
        return calm.get(address).stream().anyMatch(span -> from >= span[0] + CONTACT_S && to < span[1]);
    }

    /** One session: a request after the other, each on a new connection to one of the addresses that a directory gives. */
    private void converse(Fleet fleet, String session, List<Client.Attempt> attempts) {
        Random random = new Random();
        String part = session.substring(2);
        Client client = new Client(record, "Session: " + session + "\r\nX-Model: daka510000\r\nX-Token-Counts: 460,40\r\n"
            + "X-Prompt-Prefix: 5c1e07a2:400," + part + ":60\r\n");
        List<String> addresses = List.of();
        double validUntil = 0;
        while (!isOver) {
            if (record.now() >= validUntil || addresses.isEmpty()) {
                List<String> found = Client.resolve(fleet.machines.get(random.nextInt(MACHINES)).directory(), HOST, "khomas-a");
                if (!found.isEmpty()) {
                    addresses = new ArrayList<>(found);
                    validUntil = record.now() + 1.0;
                }
            }
            if (!addresses.isEmpty()) {
                String address = addresses.get(random.nextInt(addresses.size()));
                Client.Attempt attempt = client.once(address, "POST", HOST, "/plan/2f", "key-alpha", 12_000);
                attempts.add(attempt);
                if (!attempt.isConnected) addresses.remove(address);
            }
            try {
                Thread.sleep(300 + random.nextInt(600));
            } catch (InterruptedException error) {
                return;
            }
        }
    }

    private Boolean judge(Map<Integer, List<Client.Attempt>> sessions, List<RunnerStandIn> runners) {
        Map<String, String> versions = new HashMap<>();
        for (RunnerStandIn runner : runners) {
            for (RunnerStandIn.Arrival arrival : runner.arrivals) if (arrival.beganAt >= 0) versions.put(arrival.id, runner.version);
        }
        int moved = 0;
        int served = 0;
        int outOfTouch = 0;
        for (List<Client.Attempt> attempts : sessions.values()) {
            Client.Attempt before = null;
            for (Client.Attempt attempt : attempts) {
                String version = versions.get(attempt.id);
                if (version == null) continue;
                if (attempt.status == 200) served++;
                String mark = "";
                String last = before == null || attempt.sentAt - before.endedAt >= SESSION_S ? version : versions.get(before.id);
                if (!version.equals(last)) {
                    Double ordered = orders.get(version);
                    boolean isEarly = version.compareTo(last) > 0 && attempt.sentAt < ordered + RAMP_S / 2;
                    boolean isBack = version.compareTo(last) < 0;
                    boolean isCounted = isInTouch(attempt.address, attempt.sentAt, attempt.endedAt);
                    if (isEarly || isBack) {
                        if (isCounted) moved++;
                        else outOfTouch++;
                        mark = (isBack ? "  << back on the old version" : "  << on the new version in the first half")
                            + (isCounted ? "" : " (machine not in touch)");
                    }
                }
                record.line(attempt + " on " + version + mark);
                before = attempt;
            }
        }
        record.line("requests served: " + served);
        record.line("requests on another version than the one before in their session, by machines in touch: " + moved);
        record.line("the same by machines out of touch, not counted: " + outOfTouch);
        if (served < 300) return null;
        return moved > 3;
    }
}
