import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Runners answer streams without length or chunks; one that leaves is gone two seconds after its notice. */
public final class CutStream extends Scenario {
    private static final int EVENTS = 40;

    private CutStream(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        new CutStream(arguments[0]).run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op/config", configuration(1, "key-a"));
        List<RunnerProcess> runners = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            runners.add(new RunnerProcess("i-advisor-" + number, "advisor", number == 1 ? "zone-a" : "zone-b",
                "unframed", "events=" + EVENTS, "event_ms=150"));
        }
        FrontProcess front = new FrontProcess("front-zone-a-1", "zone-a", store.server.address);
        front.awaitReady();
        sleep(3_500);
        Map<String, Http.Message> answers = new ConcurrentHashMap<>();
        List<Thread> callers = new ArrayList<>();
        for (int number = 1; number <= 12; number++) {
            String id = "stream-" + number;
            Thread caller = new Thread(() -> {
                Http.Message answer = ask(front, "POST", "/tell/" + id, id, "key-a", 12_000);
                if (answer != null) answers.put(id, answer);
                note(id + ": " + statusOf(answer) + ", last event " + lastEvent(answer));
            });
            caller.start();
            callers.add(caller);
            sleep(60);
        }
        RunnerProcess leaving = runners.get(0);
        if (TROUBLE) {
            sleep(500);
            leaving.leave();
            note(leaving.id + " reports that it leaves");
            sleep(2_000);
            leaving.kill();
            note(leaving.id + " is gone");
            sleep(100);
            store.remove("servers/" + leaving.id);
        }
        for (Thread caller : callers) caller.join();
        sleep(200);
        int cut = 0;
        int whole = 0;
        for (int number = 1; number <= 12; number++) {
            String id = "stream-" + number;
            Http.Message answer = answers.get(id);
            boolean isComplete = answer != null && answer.status() == 200 && answer.isWhole;
            if (isComplete && lastEvent(answer) == EVENTS) whole++;
            if (!isComplete || lastEvent(answer) == EVENTS) continue;
            cut++;
            long made = leaving.told.stream().filter(line -> line.startsWith("event " + id + " ")).count();
            note(id + " ended as complete after event " + lastEvent(answer) + " of " + EVENTS + "; " + leaving.id
                + " had made " + made);
        }
        note("streams: 12, whole: " + whole + ", ended as complete before their last event: " + cut);
        if (cut == 0 && whole < 6) throw new IllegalStateException("too few streams were served");
        return cut == 0;
    }

    private static int lastEvent(Http.Message answer) {
        if (answer == null) return 0;
        int last = 0;
        for (String line : answer.text().split("\n")) {
            if (line.startsWith("id: ")) last = Integer.parseInt(line.substring(4).trim());
        }
        return last;
    }
}
