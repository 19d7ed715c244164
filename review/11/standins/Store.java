import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's metadata store, as the pages describe it. */
final class Store implements AutoCloseable {
    private record Item(String key, String value, long revision, long created, long lease) {
        String json() {
            return "{\"key\":\"" + key + "\",\"value\":\"" + value + "\",\"revision\":" + revision
                + ",\"created_rev\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(long revision, String key, String json) {}

    private record Copy(long revision, long leases, TreeMap<String, Item> items, Map<Long, long[]> leaseEnds) {}

    private static final Pattern FIELD =
        Pattern.compile("\"(key|value|revision|lease)\"\\s*:\\s*(?:\"([^\"]*)\"|(-?\\d+))");

    private long revision = 100;
    private long lastLease = 1_000;
    private long era = 1;
    private TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private Map<Long, long[]> leases = new HashMap<>();
    private long oldestRevision = 100;
    private volatile boolean isClosed;
    final Http.Server server;

    Store(String host) throws IOException {
        server = new Http.Server(host, 0, this::answer);
        Http.daemon("leases", () -> {
            while (!isClosed) {
                endLeases();
                Scenario.sleep(20);
            }
        });
    }

    /** Writes a key of the operator or of a runner; returns the revision, which acknowledges it. */
    synchronized long put(String key, String value) {
        return putEncoded(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    private long putEncoded(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        events.add(new Event(revision, key, item.json()));
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        events.add(new Event(revision, key, "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}"));
        notifyAll();
    }

    synchronized long revision() {
        return revision;
    }

    synchronized String value(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    /** Copies the present state. */
    synchronized Object copy() {
        Map<Long, long[]> ends = new HashMap<>();
        leases.forEach((id, times) -> ends.put(id, times.clone()));
        return new Copy(revision, lastLease, new TreeMap<>(items), ends);
    }

    /** Goes away for a moment and comes back from a copy; what the copy lacks is gone. */
    void restore(Object from, long awayMs) throws IOException {
        server.close();
        Scenario.sleep(awayMs);
        synchronized (this) {
            Copy copy = (Copy) from;
            revision = copy.revision;
            lastLease = copy.leases;
            items = new TreeMap<>(copy.items);
            leases = copy.leaseEnds;
            events.clear();
            oldestRevision = revision;
            era++;
            endLeases();
            notifyAll();
        }
        server.reopen();
    }

    private synchronized void endLeases() {
        long now = System.nanoTime();
        List<Long> ended = new ArrayList<>();
        leases.forEach((id, times) -> {
            if (now - times[1] > 0) ended.add(id);
        });
        ended.forEach(this::endLease);
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.values().forEach(item -> {
            if (item.lease == id) keys.add(item.key);
        });
        keys.forEach(this::remove);
    }

    private boolean answer(Http.Message request, Socket socket) throws Exception {
        String[] target = request.target().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        Object[] answer = handle(request, target[0], query);
        Http.respond(socket, (int) answer[0], Map.of("Content-Type", "application/json", "Store-Era", "" + answer[2]),
            (String) answer[1]);
        return true;
    }

    private synchronized Object[] handle(Http.Message request, String path, Map<String, String> query)
            throws InterruptedException {
        String last = path.substring(path.lastIndexOf('/') + 1);
        if (path.equals("/kv-key")) {
            Item item = items.get(query.get("key"));
            if (item == null) return result(404, "{\"current_rev\":" + revision + "}");
            return result(200, item.json().replaceFirst("\\}$", ",\"current_rev\":" + revision + "}"));
        }
        if (path.equals("/kv-range")) {
            List<String> found = new ArrayList<>();
            for (Item item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
                if (item.key.startsWith(query.get("prefix"))) found.add(item.json());
            }
            return result(200, "{\"entries\":[" + String.join(",", found) + "],\"has_more\":false,\"current_rev\":"
                + revision + "}");
        }
        if (path.equals("/kv-watch")) return watch(query);
        if (path.equals("/kv-lease")) {
            long ttl = number(request.text(), "ttl_ms");
            leases.put(++lastLease, new long[] {ttl, System.nanoTime() + ttl * 1_000_000});
            return result(200, "{\"lease\":" + lastLease + ",\"ttl_ms\":" + ttl + "}");
        }
        if (path.startsWith("/kv-keep/")) {
            long[] times = leases.get(Long.parseLong(last));
            if (times == null) return result(404, "{}");
            times[1] = System.nanoTime() + times[0] * 1_000_000;
            return result(200, "{\"ttl_ms\":" + times[0] + "}");
        }
        if (path.startsWith("/kv-lease-end/")) {
            boolean isKnown = leases.containsKey(Long.parseLong(last));
            endLease(Long.parseLong(last));
            return result(isKnown ? 200 : 404, "{}");
        }
        if (path.equals("/kv-txn")) return transact(request.text());
        return result(404, "{}");
    }

    private Object[] watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        long begunIn = era;
        while (true) {
            if (era != begunIn || after > revision || after < oldestRevision) return result(410, "{}");
            List<String> found = new ArrayList<>();
            for (Event event : events) {
                if (event.revision > after && event.key.startsWith(query.get("prefix"))) found.add(event.json);
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return result(200, "{\"events\":[" + String.join(",", found) + "],\"current_rev\":" + revision + "}");
            }
            wait(left);
        }
    }

    /** The parts of the body are flat lists of objects, as the system encodes them. */
    private Object[] transact(String body) {
        List<Map<String, String>> conditions = objects(part(body, "precondition"));
        List<Map<String, String>> puts = objects(part(body, "puts"));
        for (Map<String, String> condition : conditions) {
            Item item = items.get(condition.get("key"));
            long present = item == null ? 0 : item.revision;
            if (present == Long.parseLong(condition.get("revision"))) continue;
            String entry = item == null ? "{\"key\":\"" + condition.get("key") + "\",\"revision\":0}" : item.json();
            return result(412, "{\"entries\":[" + entry + "]}");
        }
        for (Map<String, String> put : puts) {
            long lease = Long.parseLong(put.getOrDefault("lease", "0"));
            if (lease != 0 && !leases.containsKey(lease)) return result(404, "{}");
            if (put.get("key").startsWith("op/") || put.get("key").startsWith("servers/")) return result(403, "{}");
        }
        for (Map<String, String> put : puts) {
            putEncoded(put.get("key"), put.get("value"), Long.parseLong(put.getOrDefault("lease", "0")));
        }
        Matcher removed = Pattern.compile("\"([^\"]+)\"").matcher(part(body, "remove"));
        while (removed.find()) remove(removed.group(1));
        return result(200, "{\"revision\":" + revision + "}");
    }

    private Object[] result(int status, String body) {
        return new Object[] {status, body, era};
    }

    private static String part(String body, String name) {
        int start = body.indexOf("\"" + name + "\"");
        if (start < 0) return "";
        int open = body.indexOf('[', start);
        return body.substring(open + 1, body.indexOf(']', open));
    }

    private static List<Map<String, String>> objects(String list) {
        List<Map<String, String>> found = new ArrayList<>();
        for (String object : list.split("\\}")) {
            Map<String, String> fields = new LinkedHashMap<>();
            Matcher matcher = FIELD.matcher(object);
            while (matcher.find()) fields.put(matcher.group(1), matcher.group(2) != null ? matcher.group(2) : matcher.group(3));
            if (!fields.isEmpty()) found.add(fields);
        }
        return found;
    }

    private static long number(String body, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(\\d+)").matcher(body);
        if (!matcher.find()) throw new IllegalArgumentException(body);
        return Long.parseLong(matcher.group(1));
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        server.close();
    }
}
