import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** What the scenarios share: the store, runners and fronts as processes, callers and the record of what happened. */
abstract class Scenario {
    static final String HOST = "desk.example";
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    /** Bounds of the small deployments. */
    static final int CONTACT_MS = 3_000;
    static final int DRAIN_MS = 2_000;
    static final int REVOKE_MS = 5_000;

    private static final long START = System.nanoTime();
    private final PrintWriter record;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final Path folder;
    private final String net =
        "127." + (16 + ThreadLocalRandom.current().nextInt(200)) + "." + ThreadLocalRandom.current().nextInt(250) + ".";
    private int lastHost = 1;
    Store store;

    Scenario(String folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")), true);
        this.folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    }

    /** Plays the scenario; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Runs the scenario and ends the process with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    final void run() {
        int status = 2;
        try {
            note("trouble " + (TROUBLE ? 1 : 0));
            store = new Store(nextHost());
            status = play() ? 0 : 1;
        } catch (Throwable error) {
            note("could not run: " + error);
            for (StackTraceElement element : error.getStackTrace()) note("  " + element);
        }
        note("status " + status);
        endProcesses();
        Runtime.getRuntime().halt(status);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException error) {
            throw new IllegalStateException(error);
        }
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    final void note(String line) {
        String text = String.format("%8.3f s  %s", now() / 1_000.0, line);
        synchronized (record) {
            record.println(text);
            System.out.println(text);
        }
    }

    final String nextHost() {
        return net + ++lastHost;
    }

    private void endProcesses() {
        for (Process process : processes) process.destroyForcibly();
        File[] files = folder.toFile().listFiles();
        if (files != null) Arrays.stream(files).forEach(File::delete);
        folder.toFile().delete();
    }

    /** A runner and its entry in the store. */
    final class RunnerProcess {
        final String id;
        final String service;
        final String zone;
        final String version;
        final Process process;
        final InetSocketAddress address;
        final List<String> told = new CopyOnWriteArrayList<>();
        final List<Long> toldAt = new CopyOnWriteArrayList<>();
        private volatile String state = "ready";
        private volatile boolean isListed = true;
        private long beats;

        RunnerProcess(String id, String service, String zone, String... options) throws IOException {
            this.id = id;
            this.service = service;
            this.zone = zone;
            String named = "v1";
            for (String option : options) if (option.startsWith("version=")) named = option.substring(8);
            version = named;
            String host = nextHost();
            List<String> command = new ArrayList<>(List.of("java", "-Xmx48m", "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "Runner", id, host));
            command.addAll(List.of(options));
            process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
            processes.add(process);
            BufferedReader out = new BufferedReader(new InputStreamReader(process.getInputStream()));
            String first = out.readLine();
            if (first == null) throw new IOException("the runner " + id + " did not start");
            address = new InetSocketAddress(host, Integer.parseInt(first.split(" ")[1]));
            Http.daemon("out of " + id, () -> {
                try {
                    for (String line = out.readLine(); line != null; line = out.readLine()) {
                        toldAt.add(now());
                        told.add(line);
                    }
                } catch (IOException error) {
                    // The process has ended.
                }
            });
            write();
            Http.daemon("beats of " + id, () -> {
                while (process.isAlive()) {
                    sleep(1_200);
                    if (process.isAlive() && isListed) write();
                }
            });
        }

        /** Writes the entry as it is now; returns the revision. */
        synchronized long write() {
            return store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\""
                + address.getHostString() + ":" + address.getPort() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"" + version + "\",\"capacity\":64,\"state\":\"" + state + "\",\"cold_left_ms\":0,\"seqno\":"
                + ++beats + "}");
        }

        /** Reports that it leaves, in the store and in its answers. */
        long leave() throws IOException {
            state = "draining";
            command("leave");
            return write();
        }

        void command(String line) throws IOException {
            OutputStream in = process.getOutputStream();
            in.write((line + "\n").getBytes(StandardCharsets.UTF_8));
            in.flush();
        }

        void kill() {
            isListed = false;
            process.destroyForcibly();
        }

        boolean hasTold(String line) {
            return told.contains(line);
        }
    }

    /** A front, started with the command of the deploy file. */
    final class FrontProcess {
        final String name;
        final Process process;
        final InetSocketAddress callers;
        final InetSocketAddress readiness;

        FrontProcess(String name, String zone, InetSocketAddress storeAddress) throws IOException {
            this.name = name;
            String host = nextHost();
            callers = new InetSocketAddress(host, freePort(host));
            readiness = new InetSocketAddress(host, freePort(host));
            Path settings = folder.resolve(name + ".conf");
            Files.writeString(settings, String.join("\n",
                "node_name=" + name, "role=front", "machine_class=front", "serves=front,directory", "ip=" + host,
                "zone=" + zone, "region=region", "zones.zone-a=region", "zones.zone-b=region",
                "bind.front=" + host + ":" + callers.getPort(), "bind.readiness=" + host + ":" + readiness.getPort(),
                "bind.admin=" + host + ":" + freePort(host), "bind.directory=" + host + ":" + freePort(host),
                "port_range=" + freePort(host) + ",65535", "seeds=", "bootstrap=true", "in_tolerance=false",
                "limits.cpu_share=0.75", "limits.vcpus=2", "limits.memory_mb=390", "limits.max_fds=8200",
                "limits.bandwidth_mbps=2000.0", "limits.disk_mb=0", "discovery=platform", "ingress=directory",
                "heartbeat_ms=1200",
                "invariants=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
                "bounds.reuse_s=2", "bounds.contact_ms=" + CONTACT_MS, "bounds.ack_ms=4000",
                "bounds.drain_ms=" + DRAIN_MS, "bounds.grace_s=8", "bounds.lost_ms=200", "bounds.converge_ms=2000",
                "bounds.downgrade_ms=250", "bounds.skew_ms=5000", "bounds.strict_revoke=true",
                "bounds.revoke_ms=" + REVOKE_MS, "bounds.retry_ratio=0.9", "bounds.retry_window_s=10",
                "bounds.retry_slack=58", "bounds.canary_share=0.15", "bounds.canary_slack=30",
                "bounds.rollback_ms=5000", "bounds.recover_s=12", "bounds.session_s=5", "bounds.ttl_max_s=5",
                "platform.address=" + storeAddress.getHostString() + ":" + storeAddress.getPort(), "platform.form=kv",
                "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20",
                "platform.value_bytes=1048576", "platform.ttl_min_ms=1000", ""));
            ProcessBuilder builder = new ProcessBuilder(deployCommand());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("QUETZALFIELD_CONFIG", settings.toString());
            File log = new File(System.getProperty("log.folder", folder.toString()), name + ".log");
            process = builder.redirectErrorStream(true).redirectOutput(log).start();
            processes.add(process);
        }

        void awaitReady() throws IOException {
            long end = now() + 20_000;
            while (now() < end) {
                Http.Message answer = Http.call(readiness, "GET", "/readyz", Map.of("Host", HOST), "", 1_000);
                if (answer != null && answer.status() == 200) return;
                sleep(100);
            }
            throw new IOException(name + " is not ready");
        }
    }

    private static List<String> deployCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (!line.startsWith("run = ")) continue;
            return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
        throw new IOException("deploy/system.toml names no command");
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** The operator's configuration, with the keys that the tenants have. */
    static String configuration(long version, String... keysOfTenants) {
        StringBuilder tenants = new StringBuilder();
        for (int index = 0; index < keysOfTenants.length; index++) {
            if (index > 0) tenants.append(',');
            String keys = keysOfTenants[index].isEmpty() ? ""
                : "\"" + keysOfTenants[index].replace(",", "\",\"") + "\"";
            tenants.append("{\"name\":\"tenant-").append(index).append("\",\"api_keys\":[").append(keys)
                .append("],\"priority\":1}");
        }
        return "{\"version\":" + version + ",\"routes\":["
            + route("book", "non_idempotent", "desk", 1, 1_000, false) + ","
            + route("look", "idempotent", "desk", 2, 1_000, false) + ","
            + route("tell", "streaming", "advisor", 3, 12_000, true)
            + "],\"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\","
            + "\"tls\":false},{\"name\":\"advisor\",\"health_path\":\"/healthz\",\"max_conns\":370,"
            + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
            + tenants + "]}";
    }

    private static String route(String name, String kind, String service, int attempts, int timeoutMs,
            boolean isResumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"/" + name + "/\",\"kind\":\"" + kind
            + "\",\"timeout_ms\":" + timeoutMs + ",\"slo_ms\":" + (isResumable ? 3_000 : 150)
            + ",\"priority\":1,\"service\":\"" + service + "\",\"attempts\":" + attempts
            + ",\"public\":false,\"sticky\":" + isResumable + ",\"resumable\":" + isResumable
            + (isResumable ? ",\"gap_aim_ms\":2000" : "") + "}";
    }

    /** Sends one request to a front; null if there is no answer. */
    static Http.Message ask(FrontProcess front, String method, String path, String id, String key, int deadlineMs) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Request-Id", id);
        headers.put("X-Deadline-Ms", "" + deadlineMs);
        headers.put("Authorization", "Bearer " + key);
        return Http.call(front.callers, method, path, headers, method.equals("POST") ? "{}" : "", deadlineMs);
    }

    static String statusOf(Http.Message answer) {
        return answer == null ? "no answer" : answer.status() + (answer.isWhole ? "" : ", broken off");
    }
}
