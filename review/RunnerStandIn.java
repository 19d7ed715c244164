import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound runner of a plain service or, with events, of a model engine. It registers itself in the store. */
final class RunnerStandIn {
    /** A request that reached this runner, and what became of it. */
    static final class Arrival {
        String runner;
        String id;
        String tenant;
        String path;
        String session;
        double at;
        volatile double beganAt = -1;
        volatile double endedAt = -1;
        volatile String end = "open";
    }

    final String id;
    final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final Record record;
    private final StoreStandIn store;
    private final String service;
    private final String zone;
    private final int slots;
    private final int queue;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final AtomicInteger running = new AtomicInteger();
    private final AtomicInteger waiting = new AtomicInteger();
    private final Object freed = new Object();
    private final AtomicInteger seqno = new AtomicInteger();
    /** Shortest and longest time of work on one request. */
    volatile int workFromMs = 20;
    volatile int workToMs = 60;
    /** The version of its software. */
    final String version;
    /** Events of an answer; 0 for a plain answer. */
    volatile int events = 0;
    private volatile boolean isLeaving;
    private volatile boolean isRegistered = true;
    private volatile boolean hasEnded;

    RunnerStandIn(Record record, StoreStandIn store, String host, String id, String service, String zone, int slots, int queue)
        throws IOException {
        this(record, store, host, id, service, zone, slots, queue, "v1");
    }

    RunnerStandIn(
        Record record, StoreStandIn store, String host, String id, String service, String zone, int slots, int queue,
        String version
    ) throws IOException {
        this.version = version;
        this.record = record;
        this.store = store;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.queue = queue;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(host, 0), 256);
        daemon(this::accept);
        daemon(this::beat);
    }

    private void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!hasEnded) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException error) {
                return;
            }
        }
    }

    private void beat() {
        while (!hasEnded) {
            if (isRegistered) register();
            try {
                Thread.sleep(1_200);
            } catch (InterruptedException error) {
                return;
            }
        }
    }

    private synchronized void register() {
        if (!isRegistered) return;
        String address = listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"" + version + "\",\"capacity\":" + slots + ",\"state\":\"" + (isLeaving ? "draining" : "ready")
            + "\",\"cold_left_ms\":0,\"born\":" + born + ",\"seqno\":" + seqno.incrementAndGet() + "}");
    }

    /** Begins to leave: says so in the store, which accepts that at once, and from then on in every answer. */
    synchronized void leave() {
        isLeaving = true;
        register();
        record.line("runner " + id + " reports draining; the store has accepted it");
    }

    /** Ends the process: open connections are closed with whatever they carry. */
    synchronized void end() {
        hasEnded = true;
        isRegistered = false;
        for (Arrival arrival : arrivals) if (arrival.end.equals("open")) arrival.end = "runner ended";
        try {
            listener.close();
        } catch (IOException error) {
            record.line("runner " + id + ": " + error);
        }
        for (Socket socket : open) close(socket);
        store.remove("servers/" + id);
        record.line("runner " + id + " exits");
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // The connection is gone either way.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                Message request = Message.read(in);
                if (request == null) return;
                answer(request, out);
            }
        } catch (IOException error) {
            // The caller or this runner has closed the connection.
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Message request, OutputStream out) throws IOException {
        if (request.path().equals("/healthz")) {
            write(out, isLeaving ? "503 Service Unavailable" : "200 OK", "X-Instance-Id: " + id + "\r\n", "");
            return;
        }
        String requestId = request.header("X-Request-Id");
        String expected = request.header("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            write(out, "421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", "");
            return;
        }
        if (requestId == null) {
            write(out, "400 Bad Request", "X-Not-Run: 1\r\n", "");
            return;
        }
        Arrival arrival = new Arrival();
        arrival.runner = id;
        arrival.id = requestId;
        arrival.tenant = request.header("X-Tenant");
        arrival.path = request.path();
        arrival.session = request.header("Session");
        arrival.at = record.now();
        arrivals.add(arrival);
        String own = "X-Request-Id: " + requestId + "\r\n";
        if (!takeSlot()) {
            arrival.end = "not run";
            write(out, "503 Service Unavailable", own + "X-Not-Run: 1\r\n", "");
            return;
        }
        if (events > 0) {
            stream(arrival, own, request.header("Last-Event-Id"), out);
            return;
        }
        try {
            arrival.beganAt = record.now();
            Thread.sleep(workFromMs + (long) (Math.random() * (workToMs - workFromMs + 1)));
            if (hasEnded) throw new IOException("the runner has ended");
            arrival.endedAt = record.now();
            arrival.end = "done";
        } catch (InterruptedException error) {
            throw new IOException(error);
        } finally {
            freeSlot();
        }
        write(out, "200 OK", own + "X-Server-Stamp: " + id + "." + requestId + "\r\n", "done " + requestId + " at " + id);
    }

    /** Answers with a stream of events in chunks, from the event after [last] on. */
    private void stream(Arrival arrival, String own, String last, OutputStream out) throws IOException {
        try {
            int first = last == null ? 1 : Integer.parseInt(last) + 1;
            Thread.sleep(workFromMs + (long) (Math.random() * (workToMs - workFromMs + 1)));
            arrival.beganAt = record.now();
            String head = "HTTP/1.1 200 OK\r\n" + own + "X-Server-Stamp: " + id + "." + arrival.id + "\r\nContent-Type: text/event-stream\r\n"
                + "X-Confidence: 90\r\nX-Weight-Versions: " + version.substring(1) + "\r\nX-Instance-Load: " + running + "," + waiting + "," + slots + "\r\n"
                + "Keep-Alive: timeout=15\r\nTransfer-Encoding: chunked\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            for (int number = first; number <= events; number++) {
                if (hasEnded) throw new IOException("the runner has ended");
                String event = "id: " + number + "\ndata: piece " + number + " of " + arrival.id + "\n\n";
                out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                Thread.sleep(20);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            arrival.endedAt = record.now();
            arrival.end = "done";
        } catch (InterruptedException error) {
            throw new IOException(error);
        } finally {
            freeSlot();
        }
    }

    private boolean takeSlot() {
        synchronized (freed) {
            if (running.get() >= slots && waiting.get() >= queue) return false;
            waiting.incrementAndGet();
            try {
                while (running.get() >= slots) freed.wait(1_000);
            } catch (InterruptedException error) {
                Thread.currentThread().interrupt();
            }
            waiting.decrementAndGet();
            running.incrementAndGet();
            return true;
        }
    }

    private void freeSlot() {
        synchronized (freed) {
            running.decrementAndGet();
            freed.notifyAll();
        }
    }

    private void write(OutputStream out, String status, String headers, String body) throws IOException {
        String load = "X-Instance-Load: " + running + "," + waiting + "," + slots + "\r\n";
        String leaving = isLeaving ? "Server-Leaving: 1\r\n" : "";
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + "\r\n" + headers + load + leaving + "Keep-Alive: timeout=15\r\n"
            + "Content-Length: " + bytes.length + "\r\n\r\n";
        byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[first.length + bytes.length];
        System.arraycopy(first, 0, whole, 0, first.length);
        System.arraycopy(bytes, 0, whole, first.length, bytes.length);
        out.write(whole);
        out.flush();
    }
}
