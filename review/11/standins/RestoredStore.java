import java.util.ArrayList;
import java.util.List;

/**
 * The store comes back from a copy that lacks the newest configuration. The operator writes that one again, and takes a
 * key away in the next one.
 */
public final class RestoredStore extends Scenario {
    private RestoredStore(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        new RestoredStore(arguments[0]).run();
    }

    @Override
    boolean play() throws Exception {
        store.put("op/config", configuration(1, "key-a", "key-b"));
        List<RunnerProcess> runners = new ArrayList<>();
        for (int number = 1; number <= 3; number++) runners.add(new RunnerProcess("i-desk-" + number, "desk", "zone-a"));
        for (int number = 1; number <= 4; number++) {
            runners.add(new RunnerProcess("i-advisor-" + number, "advisor", "zone-b"));
        }
        FrontProcess first = new FrontProcess("front-zone-a-1", "zone-a", store.server.address);
        FrontProcess second = new FrontProcess("front-zone-b-1", "zone-b", store.server.address);
        first.awaitReady();
        second.awaitReady();
        sleep(2_000);
        for (FrontProcess front : List.of(first, second)) {
            for (String key : List.of("key-a", "key-b")) {
                Http.Message answer = ask(front, "POST", "/book/1", "calm-" + front.name + "-" + key, key, 1_000);
                note("calm: " + front.name + " " + key + ": " + statusOf(answer));
                if (answer == null || answer.status() != 200) throw new IllegalStateException("calm request not served");
            }
        }
        Object copy = store.copy();
        note("the store is copied at revision " + store.revision());
        sleep(4_000);
        long second2 = store.put("op/config", configuration(2, "key-a,key-c", "key-b"));
        note("configuration 2 is acknowledged at revision " + second2);
        sleep(1_000);
        if (TROUBLE) {
            long lost = store.revision();
            note("the store goes away at revision " + lost);
            store.restore(copy, 1_000);
            note("the store is back at revision " + store.revision());
            note("configuration 2 is written again at revision "
                + store.put("op/config", configuration(2, "key-a,key-c", "key-b")));
            for (RunnerProcess runner : runners) runner.write();
        } else {
            sleep(1_000);
        }
        sleep(500);
        long revoked = store.put("op/config", configuration(3, "key-a,key-c", ""));
        long acknowledged = now();
        note("configuration 3, without key-b, is acknowledged at revision " + revoked);
        List<String> sent = new ArrayList<>();
        int number = 0;
        boolean isOtherServed = false;
        while (now() < acknowledged + REVOKE_MS + 10_000) {
            sleep(250);
            for (FrontProcess front : List.of(first, second)) {
                String id = "revoked-" + ++number;
                boolean isLate = now() > acknowledged + REVOKE_MS;
                Http.Message answer = ask(front, "POST", "/book/" + number, id, "key-b", 1_000);
                note(id + " with key-b to " + front.name + ", " + (now() - acknowledged) + " ms after: "
                    + statusOf(answer));
                if (isLate) sent.add(id);
            }
            Http.Message other = ask(first, "POST", "/book/" + number, "other-" + number, "key-a", 1_000);
            isOtherServed |= other != null && other.status() == 200 && now() > acknowledged + REVOKE_MS;
        }
        sleep(500);
        int ran = 0;
        for (String id : sent) {
            for (RunnerProcess runner : runners) if (runner.hasTold("runs " + id + " tenant-1")) ran++;
        }
        note("requests sent with key-b later than " + REVOKE_MS + " ms after its removal: " + sent.size() + ", run: "
            + ran + "; key-a served: " + isOtherServed);
        if (!isOtherServed) throw new IllegalStateException("nothing was served");
        return ran == 0;
    }
}
