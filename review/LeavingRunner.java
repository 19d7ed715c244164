import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A runner leaves while one machine is partitioned from the store; the runner says so in all its answers. */
final class LeavingRunner extends Scenario {
    private static final String HOST = "visits.example";
    private static final double DRAIN_S = 2.0;

    public static void main(String[] arguments) {
        play(new LeavingRunner(), arguments);
    }

    @Override
    Boolean run() throws Exception {
        StoreStandIn store = new StoreStandIn();
        try (Fleet fleet = new Fleet(record, store, 2)) {
            List<RunnerStandIn> runners = new ArrayList<>();
            for (int number = 1; number <= 3; number++) {
                RunnerStandIn runner = new RunnerStandIn(record, store, fleet.host(3, number), "i-desk-" + number,
                    "visit-desk", "khomas-a", 6, 24);
                runner.workFromMs = 60;
                runner.workToMs = 220;
                runners.add(runner);
            }
            store.put("op/config", configuration(1, tenant("alpha", "key-alpha")));
            if (!fleet.start()) return null;
            Thread.sleep(2_000);

            List<Client.Attempt> attempts = new CopyOnWriteArrayList<>();
            List<Thread> clients = new ArrayList<>();
            double end = record.now() + 14;
            for (Fleet.Machine machine : fleet.machines) {
                for (int number = 0; number < 6; number++) {
                    Thread client = new Thread(() -> bookInTurn(machine, attempts, end));
                    clients.add(client);
                    client.start();
                }
            }
            Thread.sleep(4_000);
            // The machine that followed the list of runners in the store last; the other one may get the list from it.
            Fleet.Machine cut = fleet.machines.stream()
                .max(java.util.Comparator.comparingLong(machine -> machine.store.lastWatchAt())).orElseThrow();
            if (hasTrouble) {
                cut.store.setCut(true);
                record.line(cut.name + " is partitioned from the store");
            }
            Thread.sleep(200);
            RunnerStandIn leaving = runners.get(0);
            leaving.leave();
            Thread.sleep(3_000);
            leaving.end();
            Thread.sleep(1_000);
            if (hasTrouble) {
                cut.store.setCut(false);
                record.line(cut.name + " reaches the store again");
            }
            for (Thread client : clients) client.join();
            return judge(attempts, runners, leaving);
        }
    }

    /** One client: a booking at a time on a kept connection, also after a failure. */
    private void bookInTurn(Fleet.Machine machine, List<Client.Attempt> attempts, double end) {
        Client client = new Client(record);
        while (record.now() < end) {
            try (Client.Connection connection = new Client.Connection(machine.front(), null)) {
                while (record.now() < end) {
                    Client.Attempt attempt = client.on(connection, "POST", HOST, "/book/2f", "key-alpha", 1_000);
                    attempts.add(attempt);
                    Thread.sleep(20);
                    if (!attempt.end.equals("kept")) break;
                }
            } catch (java.io.IOException error) {
                record.line("no connection to " + machine.name + ": " + error);
                return;
            } catch (InterruptedException error) {
                return;
            }
        }
    }

    private Boolean judge(List<Client.Attempt> attempts, List<RunnerStandIn> runners, RunnerStandIn leaving) {
        Map<String, RunnerStandIn.Arrival> arrived = new HashMap<>();
        for (RunnerStandIn runner : runners) {
            for (RunnerStandIn.Arrival arrival : runner.arrivals) arrived.put(arrival.id, arrival);
        }
        // When each machine first passed on an answer with Server-Leaving, as its client has received it.
        Map<String, Double> told = new HashMap<>();
        for (Client.Attempt attempt : attempts) {
            if (attempt.isLeavingNamed) told.merge(attempt.address, attempt.endedAt, Math::min);
        }
        told.forEach((address, at) -> record.line(String.format("%s passed on the first answer with Server-Leaving at %.3f", address, at)));
        int late = 0;
        int lost = 0;
        int served = 0;
        for (Client.Attempt attempt : attempts) {
            RunnerStandIn.Arrival arrival = arrived.get(attempt.id);
            Double at = told.get(attempt.address);
            String mark = "";
            if (attempt.status == 200) served++;
            boolean isAtLeaving = arrival != null && arrival.runner.equals(leaving.id);
            if (isAtLeaving && at != null && attempt.sentAt > at + DRAIN_S) {
                late++;
                mark = String.format("  << reaches the leaving runner, sent %.3f s after", attempt.sentAt - at);
                if (attempt.status != 200) {
                    lost++;
                    mark += "; it ran there and its answer is lost";
                }
            }
            record.line(attempt + (arrival == null ? " not at a runner" : " at " + arrival.runner + " (" + arrival.end + ")") + mark);
        }
        record.line("bookings served: " + served);
        record.line("bookings at the leaving runner later than drain_ms after Server-Leaving was passed on: " + late
            + ", of these without the runner's answer: " + lost);
        if (served < 100 || told.isEmpty()) return null;
        return late > 0;
    }
}
