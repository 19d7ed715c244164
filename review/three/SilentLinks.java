import java.util.ArrayList;
import java.util.List;

/** The connections of a front to the store go silent, while new ones work; then a runner leaves. */
public final class SilentLinks extends Scenario {
    private SilentLinks(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        new SilentLinks(arguments[0]).run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op/config", configuration(1, "key-a"));
        List<RunnerProcess> runners = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            runners.add(new RunnerProcess("i-desk-" + number, "desk", number == 1 ? "zone-a" : "zone-b", "work_ms=150"));
        }
        Links links = new Links(nextHost(), store.server.address);
        FrontProcess front = new FrontProcess("front-zone-a-1", "zone-a", links.address);
        front.awaitReady();
        sleep(2_500);
        for (int number = 1; number <= 20; number++) {
            Http.Message answer = ask(front, "POST", "/book/1", "calm-" + number, "key-a", 1_000);
            if (answer == null || answer.status() != 200) throw new IllegalStateException("calm request not served");
        }
        long silentAt = now();
        if (TROUBLE) note(links.silence() + " connections to the store go silent");
        sleep(200);
        RunnerProcess leaving = runners.get(0);
        leaving.leave();
        long acknowledged = now();
        note(leaving.id + " reports that it leaves");
        sleep(silentAt + CONTACT_MS + 100 - now());
        List<Thread> callers = new ArrayList<>();
        long sentAt = now();
        for (int number = 1; number <= 9; number++) {
            String id = "late-" + number;
            Thread caller = new Thread(() -> {
                Http.Message answer = ask(front, "POST", "/book/1", id, "key-a", 1_000);
                note(id + ", sent " + (sentAt - acknowledged) + " ms after the notice: " + statusOf(answer));
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
        int cut = 0;
        for (int number = 1; number <= 9; number++) {
            if (!leaving.hasTold("reached late-" + number)) continue;
            reached++;
            boolean isCut = !leaving.hasTold("ended late-" + number);
            if (isCut) cut++;
            note("late-" + number + " reached " + leaving.id + (isCut ? " and was cut off there" : ""));
        }
        note("requests sent later than " + DRAIN_MS + " ms after the notice: 9, at the runner that leaves: " + reached
            + ", cut off there: " + cut);
        return reached == 0;
    }
}
