import java.util.ArrayList;
import java.util.List;

/** The store comes back from a copy; a runner leaves once the store has been stable again for a while. */
public final class RestoredDrain extends Scenario {
    private static final int REQUESTS = 12;

    private final List<RunnerProcess> runners = new ArrayList<>();

    private RestoredDrain(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        new RestoredDrain(arguments[0]).run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op/config", configuration(1, "key-a"));
        for (int number = 1; number <= 3; number++) {
            runners.add(new RunnerProcess("i-desk-" + number, "desk", number == 1 ? "zone-a" : "zone-b", "work_ms=150"));
        }
        for (int number = 1; number <= 6; number++) {
            runners.add(new RunnerProcess("i-advisor-" + number, "advisor", number % 2 == 0 ? "zone-a" : "zone-b"));
        }
        List<FrontProcess> fronts = List.of(new FrontProcess("front-zone-a-1", "zone-a", store.server.address),
            new FrontProcess("front-zone-b-1", "zone-b", store.server.address));
        for (FrontProcess front : fronts) front.awaitReady();
        sleep(2_000);
        for (int number = 1; number <= 10; number++) {
            Http.Message answer = ask(fronts.get(number % 2), "POST", "/book/1", "calm-" + number, "key-a", 1_000);
            if (answer == null || answer.status() != 200) throw new IllegalStateException("calm request not served");
        }
        Object copy = store.copy();
        note("the store is copied at revision " + store.revision());
        sleep(8_000);
        if (TROUBLE) {
            note("the store goes away at revision " + store.revision());
            store.restore(copy, 1_000);
            note("the store is back at revision " + store.revision());
            for (RunnerProcess runner : runners) runner.write();
        }
        sleep(CONTACT_MS + 100);
        RunnerProcess leaving = runners.get(0);
        long revision = leaving.leave();
        long acknowledged = now();
        note(leaving.id + " reports that it leaves; acknowledged at revision " + revision);
        sleep(DRAIN_MS + 200);
        List<Thread> callers = new ArrayList<>();
        long sentAt = now();
        for (int number = 1; number <= REQUESTS; number++) {
            String id = "late-" + number;
            FrontProcess front = fronts.get(number % 2);
            Thread caller = new Thread(() -> {
                Http.Message answer = ask(front, "POST", "/book/1", id, "key-a", 1_000);
                note(id + " to " + front.name + ", sent " + (sentAt - acknowledged) + " ms after the notice: "
                    + statusOf(answer));
            });
            caller.start();
            callers.add(caller);
        }
        sleep(100);
        leaving.kill();
        note(leaving.id + " exits");
        for (Thread caller : callers) caller.join();
        sleep(200);
        int reached = 0;
        for (int number = 1; number <= REQUESTS; number++) {
            String id = "late-" + number;
            if (!leaving.hasTold("reached " + id)) continue;
            reached++;
            note(id + " reached " + leaving.id + (leaving.hasTold("ended " + id) ? "" : " and was cut off there"));
        }
        note("requests sent later than " + DRAIN_MS + " ms after the notice: " + REQUESTS + ", at the runner that had left: "
            + reached);
        return reached == 0;
    }
}
