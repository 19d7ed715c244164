import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients upload bodies within the configuration's limit, in waves; in one wave more of them come at once. */
final class LargeBodies extends Scenario {
    private static final String HOST = "visits.example";
    /** Below max_body_bytes, which is 4,194,304. */
    private static final int BODY_BYTES = 4_190_000;
    private static final double ROUTE_TIMEOUT_S = 3.0;
    private static final int USUAL_UPLOADS = 32;
    private static final double BURST_X = 1.7;
    private static final double WAVE_S = 5.0;
    private static final int WAVES = 6;
    private static final int BURST_WAVE = 2;
    /** Length of a wave, the 5 s for which a choked machine may count as slowed, and contact_ms. */
    private static final double EXCUSED_S = 1.0 + 5.0 + 3.0;
    private volatile boolean isOver;
    private volatile double burstAt = Double.MAX_VALUE;
    private final Map<String, AtomicInteger> uploads = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        play(new LargeBodies(), arguments);
    }

    @Override
    Boolean run() throws Exception {
        StoreStandIn store = new StoreStandIn();
        try (Fleet fleet = new Fleet(record, store, 1)) {
            for (int number = 1; number <= 4; number++) {
                new RunnerStandIn(record, store, fleet.host(3, number), "i-desk-" + number, "visit-desk", "khomas-a", 6, 24);
            }
            store.put("op/config", configuration(1, tenant("alpha", "key-alpha")));
            if (!fleet.start()) return null;
            Thread.sleep(1_500);
            Fleet.Machine machine = fleet.machines.get(0);

            List<Client.Attempt> attempts = new CopyOnWriteArrayList<>();
            List<Thread> clients = new ArrayList<>();
            for (int number = 0; number < 20; number++) clients.add(start(() -> lookUp(machine, attempts)));
            for (int wave = 0; wave < WAVES; wave++) {
                boolean isBurst = hasTrouble && wave == BURST_WAVE;
                int count = isBurst ? (int) Math.round(USUAL_UPLOADS * BURST_X) : USUAL_UPLOADS;
                record.line("wave " + wave + ": " + count + " clients upload " + BODY_BYTES + " bytes each" + (isBurst ? " (burst)" : ""));
                if (isBurst) burstAt = record.now();
                String name = "wave " + wave;
                for (int number = 0; number < count; number++) clients.add(start(() -> upload(machine, name)));
                for (int second = 0; second < WAVE_S; second++) {
                    Thread.sleep(1_000);
                    record.line("ready: " + machine.isReady() + ", running: " + machine.isAlive());
                }
            }
            isOver = true;
            for (Thread client : clients) client.join();
            return judge(fleet, attempts);
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    /** A client of small look-ups (idempotent), one at a time on new connections; it waits longer than the route's timeout. */
    private void lookUp(Fleet.Machine machine, List<Client.Attempt> attempts) {
        Client client = new Client(record);
        while (!isOver) {
            attempts.add(client.once(machine.front(), "GET", HOST, "/look/2f", "key-alpha", 5_000));
            pause(100);
        }
    }

    /** A client that uploads one body within a second. */
    private void upload(Fleet.Machine machine, String wave) {
        byte[] part = new byte[BODY_BYTES / 10];
        String result;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(machine.ip, machine.frontPort), 1_000);
            socket.setSoTimeout(6_000);
            OutputStream out = socket.getOutputStream();
            out.write(("POST /book/2f HTTP/1.1\r\nHost: " + HOST + "\r\nX-Request-Id: " + UUID.randomUUID()
                + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Bearer key-alpha\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            for (int number = 0; number < 10; number++) {
                out.write(part);
                pause(100);
            }
            Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
            result = answer == null ? "closed without an answer" : Integer.toString(answer.status());
        } catch (IOException error) {
            result = error.getMessage();
        }
        uploads.computeIfAbsent(wave + ": " + result, key -> new AtomicInteger()).incrementAndGet();
    }

    private Boolean judge(Fleet fleet, List<Client.Attempt> attempts) throws IOException {
        int overdue = 0;
        int excused = 0;
        int unanswered = 0;
        int served = 0;
        double longest = 0;
        for (Client.Attempt attempt : attempts) {
            double took = attempt.endedAt - attempt.sentAt;
            longest = Math.max(longest, took);
            if (attempt.status == 200) served++;
            boolean isExcused = attempt.sentAt > burstAt - ROUTE_TIMEOUT_S && attempt.sentAt < burstAt + EXCUSED_S;
            if (attempt.isConnected && took > ROUTE_TIMEOUT_S) {
                boolean hasNone = took > ROUTE_TIMEOUT_S + 0.5;
                if (isExcused) {
                    excused++;
                } else {
                    overdue++;
                    if (hasNone) unanswered++;
                }
                record.line(attempt + (hasNone ? "  << no answer half a second after the route's timeout" : "")
                    + (isExcused ? " (not counted)" : ""));
            } else if (attempt.status != 200) {
                record.line(attempt.toString());
            }
        }
        new TreeMap<>(uploads).forEach((result, count) -> record.line("uploads " + result + ": " + count));
        List<String> lines = fleet.logLines("direct buffer memory");
        record.line("log lines on direct buffer memory: " + lines.size() + (lines.isEmpty() ? "" : "; the first: " + lines.get(0)));
        record.line(String.format(java.util.Locale.ROOT, "look-ups: %d, served: %d, longest time of one: %.1f s", attempts.size(), served, longest));
        record.line("look-ups that are overdue and not counted, as they were sent around the burst: " + excused);
        record.line("look-ups still unanswered at the route's timeout: " + overdue + "; of these still unanswered half a second later: " + unanswered);
        if (served < 200) return null;
        return overdue >= 8 && unanswered * 2 > overdue;
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException error) {
            Thread.currentThread().interrupt();
        }
    }
}
