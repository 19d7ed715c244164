import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients send requests with very many short fields and bodies of legal size, many at once, which stop just short of
 * their end and stay open. The platform ends a process that exceeds the memory of its machine and starts it again.
 */
public final class Crowd extends Scenario {
    /** Memory of the smallest machine on the users' sheets, in MB. */
    private static final int MEMORY = 290;
    private static final int FRONTS = 2;
    private static final int CLIENTS = 150;
    private static final int FIELDS = 2_400;
    private static final int BODY = 4_194_304;
    private static final int SECONDS = 60;
    private static final int ENDS = 3;

    private Crowd(String directory) throws Exception {
        super(directory);
    }

    public static void main(String[] arguments) throws Exception {
        run(new Crowd(arguments[0]));
    }

    /** One machine, on which the platform keeps the role running. */
    private final class Machine {
        final String name;
        volatile Front front;
        volatile int ends;

        Machine(String name) throws Exception {
            this.name = name;
            front = startFront(name, store.port, MEMORY);
        }

        /** Ends the process if it has more memory than the machine. Memory of files that it maps does not count. */
        void watch() throws Exception {
            while (true) {
                Thread.sleep(100);
                long kilobytes = front.process.isAlive() ? front.statusKilobytes("RssAnon") : 0;
                if (front.process.isAlive() && kilobytes <= MEMORY * 1_024L) continue;
                ends++;
                record.write(name + " ended, " + ends + " times so far; it had " + kilobytes + " kB of anonymous memory");
                front.process.destroyForcibly().waitFor();
                Thread.sleep(500);
                front = startFront(name, store.port, MEMORY);
            }
        }
    }

    @Override
    int play() throws Exception {
        new RunnerProcess(record, store, "desk", "runner-1");
        List<Machine> machines = new ArrayList<>();
        for (int i = 1; i <= FRONTS; i++) machines.add(new Machine("front-" + i));
        for (Machine machine : machines) Threads.start("platform", machine::watch);
        for (int i = 0; isTroubled && i < CLIENTS; i++) {
            int number = i;
            Machine machine = machines.get(i % FRONTS);
            Threads.start("crowd", () -> sendAlmostAll(machine, number));
        }
        for (int second = 0; second < SECONDS && machines.stream().anyMatch(machine -> machine.ends < ENDS); second++) {
            Thread.sleep(1_000);
            for (Machine machine : machines) ask(machine, second);
        }
        record.write("processes that ended: " + machines.stream().map(machine -> machine.name + " " + machine.ends + " times").toList());
        return machines.stream().allMatch(machine -> machine.ends >= ENDS) ? BROKEN : HELD;
    }

    /** Sends an ordinary request to the machine, and records its memory. */
    private void ask(Machine machine, int second) {
        Threads.start("ordinary-client", () -> {
            String id = "look-" + machine.name + "-" + second;
            Client.Answer answer = Client.send(machine.front.port, "GET", "/look/5", id, CALL_TIMEOUT, CALL_TIMEOUT, "");
            record.write("client got " + id + ": " + answer + "; " + machine.name + " has "
                + machine.front.statusKilobytes("RssAnon") + " kB");
        });
    }

    private void sendAlmostAll(Machine machine, int number) throws Exception {
        for (int round = 0; ; round++) {
            try (Socket socket = new Socket("127.0.0.1", machine.front.port)) {
                OutputStream output = socket.getOutputStream();
                output.write(Message.encode("POST /book/5 HTTP/1.1\r\nHost: app.example\r\nX-Request-Id: crowd-" + number + "-"
                    + round + "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer " + Client.KEY + "\r\n" + "a: b\r\n".repeat(FIELDS)
                    + "Content-Length: " + BODY + "\r\n\r\n"));
                byte[] piece = new byte[65_536];
                for (int sent = 0; sent + piece.length < BODY; sent += piece.length) output.write(piece);
                output.write(piece, 0, piece.length - 10);
                socket.getInputStream().read();
            } catch (IOException refused) {
                Thread.sleep(200);
            }
        }
    }
}
