import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner as a process of its own: arguments are its id, its address and options. It tells on its standard output what
 * it runs, and takes the commands 'leave' and 'exit' on its standard input.
 */
public final class Runner {
    private static String id;
    private static int workMs = 20;
    private static boolean failsHalf;
    private static final AtomicInteger ran = new AtomicInteger();
    private static volatile boolean isLeaving;

    private Runner() {}

    public static void main(String[] arguments) throws Exception {
        id = arguments[0];
        for (String option : arguments) {
            if (option.equals("fails_half")) failsHalf = true;
            if (option.startsWith("work_ms=")) workMs = Integer.parseInt(option.substring(8));
        }
        Http.Server server = new Http.Server(arguments[1], 0, Runner::answer);
        tell("listens " + server.address.getPort());
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in));
        for (String command = commands.readLine(); command != null; command = commands.readLine()) {
            if (command.equals("leave")) isLeaving = true;
            if (command.equals("exit")) break;
        }
        Runtime.getRuntime().halt(0);
    }

    private static synchronized void tell(String line) {
        System.out.println(line);
        System.out.flush();
    }

    private static boolean answer(Http.Message request, Socket socket) throws Exception {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Instance-Id", id);
        if (isLeaving) headers.put("Server-Leaving", "1");
        if (request.target().equals("/healthz")) {
            Http.respond(socket, isLeaving ? 503 : 200, headers, "");
            return true;
        }
        String requestId = request.headers.get("x-request-id");
        tell("reached " + requestId);
        if (requestId == null || !id.equals(request.headers.getOrDefault("x-expect-instance", id))) {
            headers.put("X-Not-Run", "1");
            Http.respond(socket, requestId == null ? 400 : 421, headers, "");
            return true;
        }
        tell("runs " + requestId + " " + request.headers.getOrDefault("x-tenant", "-"));
        headers.put("X-Request-Id", requestId);
        headers.put("X-Server-Stamp", id + "." + requestId);
        Scenario.sleep(workMs);
        boolean hasFailed = failsHalf && ran.incrementAndGet() % 2 == 0;
        Http.respond(socket, hasFailed ? 500 : 200, headers, "answer of " + id + " to " + requestId);
        tell((hasFailed ? "failed " : "ended ") + requestId);
        return true;
    }
}
