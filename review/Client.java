import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Client attempts at one address of the system, and the question for addresses. */
final class Client {
    /** What a client saw of one attempt. */
    static final class Attempt {
        String id;
        String key;
        String address;
        double sentAt;
        double endedAt;
        /** Status of the answer; 0 if the connection ended or stayed silent without a complete answer. */
        int status;
        boolean isConnected;
        String end = "";
        String retryAfter;
        boolean isLeavingNamed;
        String stamp;
        String body = "";

        @Override
        public String toString() {
            return id + " via " + address + (key == null ? "" : " key " + key) + " -> "
                + (status == 0 ? "no answer (" + end + ")" : status + (stamp == null ? " own " + body.trim() : " by " + stamp))
                + String.format(java.util.Locale.ROOT, " sent %.3f ended %.3f", sentAt, endedAt);
        }
    }

    private final Record record;
    /** Further header lines of each request, each with its line end. */
    private final String headers;

    Client(Record record) {
        this(record, "");
    }

    Client(Record record, String headers) {
        this.record = record;
        this.headers = headers;
    }

    /** A connection that a client keeps for several requests. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final BufferedInputStream in;
        final String address;

        Connection(String address, String from) throws IOException {
            this.address = address;
            socket = new Socket();
            socket.setTcpNoDelay(true);
            if (from != null) socket.bind(new InetSocketAddress(from, 0));
            int colon = address.lastIndexOf(':');
            socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // The connection is gone either way.
            }
        }
    }

    /** One attempt on a new connection, which is closed afterwards. */
    Attempt once(String address, String method, String host, String path, String key, int deadlineMs) {
        Attempt attempt = new Attempt();
        attempt.address = address;
        attempt.key = key;
        attempt.sentAt = record.now();
        attempt.id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        try (Connection connection = new Connection(address, null)) {
            attempt.isConnected = true;
            send(connection, attempt, method, host, path, deadlineMs);
        } catch (IOException error) {
            attempt.end = error.getClass().getSimpleName() + ": " + error.getMessage();
        }
        attempt.endedAt = record.now();
        return attempt;
    }

    /** One attempt on a kept connection. */
    Attempt on(Connection connection, String method, String host, String path, String key, int deadlineMs) {
        Attempt attempt = new Attempt();
        attempt.address = connection.address;
        attempt.key = key;
        attempt.isConnected = true;
        attempt.id = UUID.randomUUID().toString().replace("-", "").substring(0, 16);
        try {
            send(connection, attempt, method, host, path, deadlineMs);
        } catch (IOException error) {
            attempt.end = error.getClass().getSimpleName() + ": " + error.getMessage();
        }
        attempt.endedAt = record.now();
        return attempt;
    }

    private void send(Connection connection, Attempt attempt, String method, String host, String path, int deadlineMs)
        throws IOException {
        byte[] body = method.equals("POST") ? ("order " + attempt.id).getBytes(StandardCharsets.UTF_8) : new byte[0];
        String text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + attempt.id
            + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\n" + headers
            + (attempt.key == null ? "" : "Authorization: Bearer " + attempt.key + "\r\n")
            + (method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        byte[] head = text.getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = new byte[head.length + body.length];
        System.arraycopy(head, 0, whole, 0, head.length);
        System.arraycopy(body, 0, whole, head.length, body.length);
        attempt.sentAt = record.now();
        connection.socket.getOutputStream().write(whole);
        connection.socket.setSoTimeout(deadlineMs + 1_000);
        try {
            Message answer = Message.read(connection.in);
            if (answer == null) {
                attempt.end = "connection closed";
                return;
            }
            attempt.status = answer.status();
            attempt.stamp = answer.header("X-Server-Stamp");
            attempt.retryAfter = answer.header("Retry-After");
            attempt.isLeavingNamed = answer.header("Server-Leaving") != null;
            attempt.body = new String(answer.body, StandardCharsets.UTF_8);
            attempt.end = "close".equalsIgnoreCase(answer.header("Connection")) ? "close" : "kept";
        } catch (SocketTimeoutException error) {
            attempt.end = "silent past the deadline";
        }
    }

    private static final Pattern ADDRESS = Pattern.compile("\"([0-9.]+:[0-9]+)\"");

    /** Asks a directory for addresses; empty if it gives none. */
    static List<String> resolve(String directory, String host, String zone) {
        List<String> result = new ArrayList<>();
        try (Connection connection = new Connection(directory, null)) {
            connection.socket.setSoTimeout(1_000);
            connection.socket.getOutputStream().write(("GET /resolve?name=" + host + "&region=khomas&zone=" + zone
                + " HTTP/1.1\r\nHost: directory\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            Message answer = Message.read(connection.in);
            if (answer == null || answer.status() != 200) return result;
            Matcher matcher = ADDRESS.matcher(new String(answer.body, StandardCharsets.UTF_8));
            while (matcher.find()) result.add(matcher.group(1));
        } catch (IOException error) {
            return result;
        }
        return result;
    }

    /** Status of a plain GET, such as the platform's question whether a daemon is ready; 0 without an answer. */
    static int status(String address, String path) {
        try (Connection connection = new Connection(address, null)) {
            connection.socket.setSoTimeout(1_000);
            connection.socket.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: platform\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
            Message answer = Message.read(connection.in);
            return answer == null ? 0 : answer.status();
        } catch (IOException error) {
            return 0;
        }
    }
}
