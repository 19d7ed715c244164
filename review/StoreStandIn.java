import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store, in memory. Each machine reaches it at an address of its own, so that single machines
 * can be partitioned from it: a partitioned call gets no answer and has no effect.
 */
final class StoreStandIn {
    private record Item(String key, String value, long revision, long created, long lease) {
        String json() {
            return "{\"key\":" + Json.quote(key) + ",\"value\":\"" + value + "\",\"revision\":" + revision
                + ",\"created_rev\":" + created + ",\"lease\":" + lease + "}";
        }
    }

    private record Event(String key, long revision, Item item) {
        String json() {
            if (item != null) return item.json();
            return "{\"key\":" + Json.quote(key) + ",\"revision\":" + revision + ",\"deleted\":true}";
        }
    }

    private static final class Lease {
        long ttlMs;
        long endsAt;
    }

    /** One way to the store. */
    final class Access {
        private final HttpServer server;
        private volatile boolean isCut;
        private volatile long lastWatchAt;

        private Access(String host) throws IOException {
            server = HttpServer.create(new InetSocketAddress(host, 0), 0);
            server.setExecutor(Executors.newCachedThreadPool(task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            }));
            server.createContext("/", exchange -> answer(this, exchange));
            server.start();
        }

        String address() {
            return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
        }

        /** When this way was last used to follow the list of runners; by System.nanoTime(). */
        long lastWatchAt() {
            return lastWatchAt;
        }

        /** Partitions this way, or heals it; calls that were made meanwhile are never answered. */
        void setCut(boolean cut) {
            isCut = cut;
            synchronized (StoreStandIn.this) {
                StoreStandIn.this.notifyAll();
            }
        }
    }


    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Event> history = new ArrayList<>();
    private long revision = 10;
    private long nextLease = 1_000;

    StoreStandIn() {
        Thread expiry = new Thread(this::expireLeases, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    Access open(String host) throws IOException {
        return new Access(host);
    }

    /** Writes a key, as the operator or a runner does. */
    synchronized void put(String key, String text) {
        write(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) delete(key);
        notifyAll();
    }

    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    private void write(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created, lease);
        items.put(key, item);
        history.add(new Event(key, revision, item));
    }

    private void delete(String key) {
        revision++;
        items.remove(key);
        history.add(new Event(key, revision, null));
    }

    private void endLease(long lease) {
        leases.remove(lease);
        for (Item item : new ArrayList<>(items.values())) if (item.lease == lease) delete(item.key);
        notifyAll();
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                for (Map.Entry<Long, Lease> entry : new ArrayList<>(leases.entrySet())) {
                    if (entry.getValue().endsAt <= now) endLease(entry.getKey());
                }
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException error) {
                return;
            }
        }
    }

    private void answer(Access access, HttpExchange exchange) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            if (access.isCut) {
                waitWhileCut(access);
                return;
            }
            String path = exchange.getRequestURI().getPath();
            String[] result = handle(access, exchange.getRequestMethod() + " " + path, query(exchange), body);
            if (result == null) {
                waitWhileCut(access);
                return;
            }
            byte[] bytes = result[1].getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(Integer.parseInt(result[0]), bytes.length == 0 ? -1 : bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (RuntimeException error) {
            error.printStackTrace();
        }
    }

    private synchronized void waitWhileCut(Access access) {
        try {
            while (access.isCut) wait(1_000);
        } catch (InterruptedException error) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) return result;
        for (String pair : raw.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                result.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return result;
    }

    /** Returns status and body; `null` for no answer. */
    private synchronized String[] handle(Access access, String call, Map<String, String> query, String body) {
        String last = call.substring(call.lastIndexOf('/') + 1);
        if (call.equals("GET /kv-key")) return readKey(query.get("key"));
        if (call.equals("GET /kv-range")) return readRange(query.get("prefix"), query.get("after"));
        if (call.equals("GET /kv-watch")) return watch(access, query);
        if (call.equals("POST /kv-txn")) return transact(Json.readObject(body));
        if (call.equals("POST /kv-lease")) return grant((Long) Json.readObject(body).get("ttl_ms"));
        if (call.startsWith("POST /kv-keep/")) return keep(Long.parseLong(last));
        if (call.startsWith("DELETE /kv-lease-end/")) {
            boolean isKnown = leases.containsKey(Long.parseLong(last));
            endLease(Long.parseLong(last));
            return isKnown ? new String[] {"200", "{}"} : new String[] {"404", "{}"};
        }
        return new String[] {"404", "{}"};
    }

    private String[] readKey(String key) {
        Item item = items.get(key);
        if (item == null) return new String[] {"404", "{\"current_rev\":" + revision + "}"};
        String json = item.json();
        return new String[] {"200", json.substring(0, json.length() - 1) + ",\"current_rev\":" + revision + "}"};
    }

    private String[] readRange(String prefix, String after) {
        StringBuilder entries = new StringBuilder();
        for (Item item : items.values()) {
            if (!item.key.startsWith(prefix) || (after != null && item.key.compareTo(after) <= 0)) continue;
            entries.append(entries.length() == 0 ? "" : ",").append(item.json());
        }
        return new String[] {"200", "{\"entries\":[" + entries + "],\"has_more\":false,\"current_rev\":" + revision + "}"};
    }

    private String[] watch(Access access, Map<String, String> query) {
        String prefix = query.get("prefix");
        if (prefix.startsWith("servers/")) access.lastWatchAt = System.nanoTime();
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() / 1_000_000 + Math.min(30_000, Long.parseLong(query.get("wait_ms")));
        while (true) {
            if (access.isCut) return null;
            StringBuilder events = new StringBuilder();
            for (Event event : history) {
                if (event.revision <= after || !event.key.startsWith(prefix)) continue;
                events.append(events.length() == 0 ? "" : ",").append(event.json());
            }
            long left = end - System.nanoTime() / 1_000_000;
            if (events.length() > 0 || left <= 0) {
                return new String[] {"200", "{\"events\":[" + events + "],\"current_rev\":" + revision + "}"};
            }
            try {
                wait(left);
            } catch (InterruptedException error) {
                return null;
            }
        }
    }

    @SuppressWarnings("unchecked")
    private String[] transact(Map<String, Object> request) {
        List<Map<String, Object>> conditions = (List<Map<String, Object>>) request.getOrDefault("precondition", List.of());
        List<Map<String, Object>> puts = (List<Map<String, Object>>) request.getOrDefault("puts", List.of());
        List<Object> removals = (List<Object>) request.getOrDefault("remove", List.of());
        boolean isMet = true;
        StringBuilder current = new StringBuilder();
        for (Map<String, Object> condition : conditions) {
            String key = (String) condition.get("key");
            Item item = items.get(key);
            isMet = isMet && (item == null ? 0 : item.revision) == (Long) condition.get("revision");
            current.append(current.length() == 0 ? "" : ",")
                .append(item == null ? "{\"key\":" + Json.quote(key) + ",\"revision\":0}" : item.json());
        }
        if (!isMet) return new String[] {"412", "{\"entries\":[" + current + "]}"};
        for (Map<String, Object> put : puts) {
            String key = (String) put.get("key");
            if (key.startsWith("op/") || key.startsWith("servers/")) return new String[] {"403", "{}"};
            long lease = (Long) put.getOrDefault("lease", 0L);
            if (lease != 0 && !leases.containsKey(lease)) return new String[] {"404", "{}"};
        }
        for (Map<String, Object> put : puts) {
            write((String) put.get("key"), (String) put.get("value"), (Long) put.getOrDefault("lease", 0L));
        }
        for (Object key : removals) if (items.containsKey((String) key)) delete((String) key);
        notifyAll();
        return new String[] {"200", "{\"revision\":" + revision + "}"};
    }

    private String[] grant(long ttlMs) {
        Lease lease = new Lease();
        lease.ttlMs = Math.max(1_000, Math.min(600_000, ttlMs));
        lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttlMs;
        leases.put(++nextLease, lease);
        return new String[] {"200", "{\"lease\":" + nextLease + ",\"ttl_ms\":" + lease.ttlMs + "}"};
    }

    private String[] keep(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return new String[] {"404", "{}"};
        lease.endsAt = System.nanoTime() / 1_000_000 + lease.ttlMs;
        return new String[] {"200", "{\"ttl_ms\":" + lease.ttlMs + "}"};
    }
}
