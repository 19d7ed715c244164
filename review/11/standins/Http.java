import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on blocking sockets. */
final class Http {
    private Http() {}

    /** A request or a response; names of headers are in lower case. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        /** Whether the body ended as its head says; false if the connection ended first. */
        boolean isWhole;

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Answers one request; returns whether the connection is kept. */
        boolean answer(Message request, Socket socket) throws Exception;
    }

    /** Accepts connections, each served by a thread of its own. */
    static final class Server implements AutoCloseable {
        final InetSocketAddress address;
        private final Handler handler;
        private volatile ServerSocket listener;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = listen(host, port);
            address = new InetSocketAddress(host, listener.getLocalPort());
            accept(listener);
        }

        private static ServerSocket listen(String host, int port) throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
            return socket;
        }

        private void accept(ServerSocket from) {
            daemon("accept " + address, () -> {
                while (!from.isClosed()) {
                    try {
                        Socket socket = from.accept();
                        sockets.add(socket);
                        daemon("serve", () -> serve(socket));
                    } catch (IOException error) {
                        return;
                    }
                }
            });
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Message request = readHead(in);
                    if (request == null) return;
                    readBody(in, request, false);
                    if (!handler.answer(request, socket)) return;
                }
            } catch (Exception error) {
                // The peer has left, or this server was closed.
            } finally {
                sockets.remove(socket);
            }
        }

        /** Stops listening and closes all connections. */
        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) socket.close();
        }

        /** Listens again at the same address. */
        void reopen() throws IOException {
            listener = listen(address.getHostString(), address.getPort());
            accept(listener);
        }
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the connection ended within a line");
            }
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the head of a message; null if the connection ended before it. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        String start = readLine(in);
        if (start == null) return null;
        message.start = start;
        while (true) {
            String line = readLine(in);
            if (line == null) throw new EOFException("the connection ended within a head");
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
    }

    /** Reads the body; that of a response without a length ends with its connection. */
    static void readBody(InputStream in, Message message, boolean isResponse) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = message.headers.get("content-length");
        try {
            if ("chunked".equalsIgnoreCase(message.headers.get("transfer-encoding"))) {
                while (true) {
                    String line = readLine(in);
                    if (line == null) throw new EOFException();
                    int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                    byte[] chunk = in.readNBytes(size);
                    body.write(chunk);
                    if (chunk.length < size) throw new EOFException();
                    if (readLine(in) == null && size > 0) throw new EOFException();
                    if (size == 0) break;
                }
                message.isWhole = true;
            } else if (length != null) {
                int size = Integer.parseInt(length);
                body.write(in.readNBytes(size));
                message.isWhole = body.size() == size;
            } else if (isResponse) {
                in.transferTo(body);
                message.isWhole = true;
            } else {
                message.isWhole = true;
            }
        } catch (EOFException | SocketException error) {
            message.isWhole = false;
        }
        message.body = body.toByteArray();
    }

    /** Sends a whole response with its length. */
    static void respond(Socket socket, int status, Map<String, String> headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
        OutputStream out = socket.getOutputStream();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Sends one request on a new connection and reads its answer; null if there is none within the time. */
    static Message call(InetSocketAddress to, String method, String target, Map<String, String> headers, String body,
            int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, 1_000);
            socket.setSoTimeout(timeoutMs);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (bytes.length > 0) head.append("Content-Length: ").append(bytes.length).append("\r\n");
            head.append("Connection: close\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(bytes);
            socket.getOutputStream().write(all.toByteArray());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Message response = readHead(in);
            if (response == null) return null;
            readBody(in, response, true);
            return response;
        } catch (IOException error) {
            return null;
        }
    }
}
