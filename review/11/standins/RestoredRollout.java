import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** The store comes back from a copy that lacks the order to bring in a version, which the operator writes again. */
public final class RestoredRollout extends Scenario {
    private static final int RAMP_S = 16;
    private static final int ROLLBACK_MS = 5_000;
    private static final String ORDER = "{\"service\":\"desk\",\"target\":\"v2\",\"ramp_s\":" + RAMP_S + "}";

    private final List<RunnerProcess> old = new ArrayList<>();
    private final List<RunnerProcess> target = new ArrayList<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();

    private RestoredRollout(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        new RestoredRollout(arguments[0]).run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op/config", configuration(1, "key-a"));
        for (int number = 1; number <= 3; number++) {
            old.add(new RunnerProcess("i-old-" + number, "desk", number == 1 ? "zone-a" : "zone-b"));
        }
        List<RunnerProcess> others = new ArrayList<>();
        for (int number = 1; number <= 6; number++) {
            others.add(new RunnerProcess("i-advisor-" + number, "advisor", number % 2 == 0 ? "zone-a" : "zone-b"));
        }
        List<FrontProcess> fronts = List.of(new FrontProcess("front-zone-a-1", "zone-a", store.server.address),
            new FrontProcess("front-zone-b-1", "zone-b", store.server.address));
        for (FrontProcess front : fronts) front.awaitReady();
        sleep(2_000);
        AtomicInteger sent = new AtomicInteger();
        ScheduledExecutorService callers = Executors.newScheduledThreadPool(8);
        for (int caller = 0; caller < 4; caller++) {
            callers.scheduleAtFixedRate(() -> {
                int number = sent.incrementAndGet();
                Http.Message answer = ask(fronts.get(number % 2), "POST", "/book/1", "request-" + number, "key-a", 1_000);
                statuses.merge(statusOf(answer), 1, Integer::sum);
            }, 25 * caller, 100, TimeUnit.MILLISECONDS);
        }
        sleep(2_000);
        Object copy = store.copy();
        note("the store is copied at revision " + store.revision());
        sleep(6_000);
        for (int number = 1; number <= 3; number++) {
            target.add(new RunnerProcess("i-new-" + number, "desk", number == 1 ? "zone-a" : "zone-b", "version=v2",
                "fails_half"));
        }
        note("the order is acknowledged at revision " + store.put("op/rollout/desk", ORDER));
        sleep(2_000);
        if (TROUBLE) {
            note("the store goes away at revision " + store.revision());
            store.restore(copy, 1_000);
            note("the store is back at revision " + store.revision());
            for (RunnerProcess runner : old) runner.write();
            for (RunnerProcess runner : target) runner.write();
            for (RunnerProcess runner : others) runner.write();
            sleep(1_500);
            note("the order is written again at revision " + store.put("op/rollout/desk", ORDER));
        }
        followStatus();
        long end = now() + RAMP_S * 1_000 + 14_000;
        while (now() < end) {
            sleep(1_000);
            note("answers so far " + statuses + ", bad answers of v2: " + badAnswers().size());
        }
        callers.shutdown();
        sleep(500);
        return judge();
    }

    /** Does what the platform does when the status says that a version is in or is taken back. */
    private void followStatus() {
        Http.daemon("operator", () -> {
            String seen = null;
            while (true) {
                sleep(20);
                String status = store.value("status/rollout/desk");
                if (status == null || status.equals(seen)) continue;
                seen = status;
                note("status " + status);
                if (status.contains("complete")) {
                    for (RunnerProcess runner : old) {
                        runner.kill();
                        store.remove("servers/" + runner.id);
                    }
                    note("the old runners are stopped");
                }
                if (status.contains("reverted")) {
                    sleep(3_000);
                    try {
                        for (RunnerProcess runner : target) runner.leave();
                    } catch (Exception error) {
                        note("a runner does not leave: " + error);
                    }
                }
            }
        });
    }

    private List<Long> badAnswers() {
        List<Long> times = new ArrayList<>();
        for (RunnerProcess runner : target) {
            for (int index = 0; index < runner.told.size(); index++) {
                if (runner.told.get(index).startsWith("failed ")) times.add(runner.toldAt.get(index));
            }
        }
        times.sort(null);
        return times;
    }

    private boolean judge() {
        List<Long> bad = badAnswers();
        note("answers " + statuses + ", bad answers of v2: " + bad.size());
        if (statuses.getOrDefault("200", 0) < 200) throw new IllegalStateException("too few requests were served");
        if (bad.size() < 50) return true;
        long limit = bad.get(49) + ROLLBACK_MS;
        int late = 0;
        for (RunnerProcess runner : target) {
            for (int index = 0; index < runner.told.size(); index++) {
                if (runner.told.get(index).startsWith("runs ") && runner.toldAt.get(index) > limit) late++;
            }
        }
        note("requests at v2 later than " + ROLLBACK_MS + " ms after its 50th bad answer: " + late);
        return late == 0;
    }
}
