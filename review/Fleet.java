import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Daemons of the role `front`, started as processes with the command of the deploy file, each at an address of its own. */
final class Fleet implements AutoCloseable {
    /** One machine. */
    final class Machine {
        final String name;
        final String ip;
        final String zone;
        final int frontPort;
        final int readinessPort;
        final int directoryPort;
        final int adminPort;
        final int peerPort;
        final StoreStandIn.Access store;
        private final Path settings;
        private volatile Process process;

        private Machine(int number) throws IOException {
            name = "front-khomas-a-" + number;
            ip = host(1, number);
            zone = "khomas-a";
            frontPort = freePort(ip);
            readinessPort = freePort(ip);
            directoryPort = freePort(ip);
            adminPort = freePort(ip);
            peerPort = freePort(ip);
            store = Fleet.this.store.open(host(2, number));
            settings = folder.resolve(name + ".conf");
        }

        String front() {
            return ip + ":" + frontPort;
        }

        String directory() {
            return ip + ":" + directoryPort;
        }

        boolean isReady() {
            return Client.status(ip + ":" + readinessPort, "/readyz") == 200;
        }

        boolean isAlive() {
            return process != null && process.isAlive();
        }

        long pid() {
            return process.pid();
        }

        /** Starts the process. */
        void start() throws IOException {
            Files.writeString(settings, settingsText());
            List<String> words = new ArrayList<>(List.of(command.split(" ")));
            ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile()).redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            String path = System.getenv("PATH");
            String home = System.getenv("HOME");
            String java = System.getenv("JAVA_HOME");
            builder.environment().clear();
            if (path != null) builder.environment().put("PATH", path);
            if (home != null) builder.environment().put("HOME", home);
            if (java != null) builder.environment().put("JAVA_HOME", java);
            builder.environment().put("QUETZALFIELD_CONFIG", settings.toString());
            process = builder.start();
            record.line("machine " + name + " starts at " + front());
        }

        /** Waits until the process says that it is ready; `false` after [seconds]. */
        boolean awaitReady(double seconds) throws InterruptedException {
            double end = record.now() + seconds;
            while (record.now() < end) {
                if (isReady()) return true;
                Thread.sleep(50);
            }
            return false;
        }

        /** Sends a signal, such as TERM or STOP, to the process. */
        void signal(String signal) throws IOException, InterruptedException {
            record.line("SIG" + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        /** Waits for the end of the process; after [seconds] it is killed, as the platform does. */
        void awaitEnd(double seconds) throws InterruptedException {
            if (!process.waitFor((long) (seconds * 1000), java.util.concurrent.TimeUnit.MILLISECONDS)) kill();
            process.waitFor();
            record.line("machine " + name + " has ended");
        }

        void kill() {
            if (process != null) process.destroyForcibly();
        }

        private String settingsText() {
            return String.join("\n",
                "node_name=" + name,
                "role=front",
                "machine_class=front",
                "serves=front,directory",
                "ip=" + ip,
                "zone=" + zone,
                "region=khomas",
                "zones.khomas-a=khomas",
                "bind.front=" + ip + ":" + frontPort,
                "bind.readiness=" + ip + ":" + readinessPort,
                "bind.admin=" + ip + ":" + adminPort,
                "bind.directory=" + ip + ":" + directoryPort,
                "port_range=" + peerPort + "," + peerPort,
                "bootstrap=true",
                "in_tolerance=false",
                "limits.cpu_share=0.75",
                "limits.vcpus=2",
                "limits.memory_mb=390",
                "limits.max_fds=8200",
                "limits.bandwidth_mbps=2000.0",
                "limits.disk_mb=0",
                "discovery=platform",
                "ingress=directory",
                "heartbeat_ms=1200",
                "invariants=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
                "fault_tolerance.machines=1",
                "fault_tolerance.zones=0",
                "fault_tolerance.regions=0",
                "bounds.seed_lag_s=3",
                "bounds.reuse_s=2",
                "bounds.contact_ms=3000",
                "bounds.ack_ms=4000",
                "bounds.sync_s=4",
                "bounds.drain_ms=2000",
                "bounds.grace_s=8",
                "bounds.lost_ms=200",
                "bounds.converge_ms=2000",
                "bounds.downgrade_ms=250",
                "bounds.skew_ms=5000",
                "bounds.strict_revoke=true",
                "bounds.revoke_ms=5000",
                "bounds.retry_ratio=0.9",
                "bounds.retry_window_s=10",
                "bounds.retry_slack=58",
                "bounds.canary_share=0.15",
                "bounds.canary_slack=30",
                "bounds.rollback_ms=5000",
                "bounds.recover_s=12",
                "bounds.pass_ms=120",
                "bounds.again_s=8.6",
                "bounds.session_s=5",
                "bounds.ttl_max_s=5",
                "platform.address=" + store.address(),
                "platform.form=kv",
                "platform.writes_per_s=400",
                "platform.reads_per_s=2000",
                "platform.history_s=20",
                "platform.value_bytes=1048576",
                "platform.ttl_min_ms=1000",
                "");
        }
    }

    /** The port in the deploy file's command. */
    private static final int METRICS_PORT = 9464;

    final List<Machine> machines = new ArrayList<>();
    final StoreStandIn store;
    private final Record record;
    private final Path root;
    private final Path folder;
    private final String command;
    private final int net;

    Fleet(Record record, StoreStandIn store, int machineCount) throws IOException {
        this.record = record;
        this.store = store;
        root = Path.of(System.getProperty("review.root")).toAbsolutePath().normalize();
        folder = Files.createTempDirectory("review-");
        command = commandOf(Files.readString(root.resolve("deploy/system.toml")));
        net = freeNet(machineCount);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
        for (int number = 1; number <= machineCount; number++) machines.add(new Machine(number));
    }

    /** The loopback address number [number] of a kind: 1 machines, 2 ways to the store, 3 runners. */
    String host(int kind, int number) {
        return "127." + (20 + net) + "." + kind + "." + number;
    }

    private static String commandOf(String deploy) {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!matcher.find()) throw new IllegalStateException("deploy/system.toml has no command");
        return matcher.group(1);
    }

    /** A number of loopback addresses that no other run uses: the port for metrics, which the command sets, is free there. */
    private int freeNet(int machineCount) {
        Random random = new Random();
        while (true) {
            int candidate = 1 + random.nextInt(200);
            boolean isFree = true;
            for (int number = 1; number <= machineCount; number++) {
                try (ServerSocket socket = new ServerSocket()) {
                    socket.bind(new InetSocketAddress("127." + (20 + candidate) + ".1." + number, METRICS_PORT));
                } catch (IOException error) {
                    isFree = false;
                }
            }
            if (isFree) return candidate;
        }
    }

    /** A port that is free for TCP and UDP at [host]. */
    private static int freePort(String host) throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(host, 0));
                int port = socket.getLocalPort();
                if (port == METRICS_PORT) continue;
                try (DatagramSocket datagrams = new DatagramSocket(port, InetAddress.getByName(host))) {
                    return datagrams.getLocalPort();
                } catch (IOException error) {
                    continue;
                }
            }
        }
    }

    /** Starts all machines and waits until they are ready. */
    boolean start() throws IOException, InterruptedException {
        for (Machine machine : machines) machine.start();
        for (Machine machine : machines) if (!machine.awaitReady(20)) return false;
        return true;
    }

    /** Log lines of all daemons that contain [text], for the record. */
    List<String> logLines(String text) throws IOException {
        List<String> lines = new ArrayList<>();
        for (Machine machine : machines) {
            File log = folder.resolve(machine.name + ".log").toFile();
            if (!log.exists()) continue;
            for (String line : Files.readAllLines(log.toPath())) {
                if (line.contains(text)) lines.add(machine.name + ": " + line);
            }
        }
        return lines;
    }

    private void killAll() {
        for (Machine machine : machines) machine.kill();
    }

    @Override
    public void close() throws IOException {
        killAll();
        if (System.getProperty("review.keep") != null) {
            System.err.println("logs are in " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
