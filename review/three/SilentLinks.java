import java.util.ArrayList;
import java.util.List;

/**
 * The connections of the fronts to the store go silent, while new ones work, and then a runner leaves; again with
 * another runner until a request reaches one that has left.
 */
public final class SilentLinks extends Scenario {
    private static final int ROUNDS = 8;
    private static final int REQUESTS = 12;

    private final List<RunnerProcess> runners = new ArrayList<>();
    private List<FrontProcess> fronts;
    private Links links;

    private SilentLinks(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        new SilentLinks(arguments[0]).run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op/config", configuration(1, "key-a"));
        for (int number = 1; number <= 3; number++) addRunner();
        links = new Links(nextHost(), store.server.address);
        fronts = List.of(new FrontProcess("front-zone-a-1", "zone-a", links.address),
            new FrontProcess("front-zone-b-1", "zone-b", links.address));
        for (FrontProcess front : fronts) front.awaitReady();
        int reached = 0;
        int sent = 0;
        for (int round = 1; round <= ROUNDS && reached == 0; round++) {
            sleep(5_500);
            for (int number = 1; number <= 10; number++) {
                String id = "calm-" + round + "-" + number;
                Http.Message answer = ask(fronts.get(number % 2), "POST", "/book/1", id, "key-a", 1_000);
                if (answer == null || answer.status() != 200) throw new IllegalStateException("calm request not served");
            }
            reached += playRound(round);
            sent += REQUESTS;
            addRunner();
        }
        note("requests sent later than " + DRAIN_MS + " ms after the notice: " + ROUNDS * REQUESTS
            + ", at a runner that had left: " + reached);
        return reached == 0;
    }

    private void addRunner() throws Exception {
        int number = runners.size() + 1;
        String zone = number % 2 == 1 ? "zone-a" : "zone-b";
        runners.add(new RunnerProcess("i-desk-" + number, "desk", zone, "work_ms=150"));
    }

    /** Returns the number of late requests that reached the runner that leaves. */
    private int playRound(int round) throws Exception {
        RunnerProcess leaving = runners.get(round - 1);
        long silentAt = now();
        if (TROUBLE) note(links.silence() + " connections to the store go silent");
        sleep(200);
        leaving.leave();
        long acknowledged = now();
        note(leaving.id + " reports that it leaves");
        sleep(silentAt + CONTACT_MS + 100 - now());
        List<Thread> callers = new ArrayList<>();
        long sentAt = now();
        for (int number = 1; number <= REQUESTS; number++) {
            String id = "late-" + round + "-" + number;
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
        store.remove("servers/" + leaving.id);
        int reached = 0;
        for (int number = 1; number <= REQUESTS; number++) {
            String id = "late-" + round + "-" + number;
            if (!leaving.hasTold("reached " + id)) continue;
            reached++;
            note(id + " reached " + leaving.id + (leaving.hasTold("ended " + id) ? "" : " and was cut off there"));
        }
        return reached;
    }
}
