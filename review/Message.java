import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One HTTP/1.1 message as read from a connection. Header names are case-insensitive. */
final class Message {
    private static final int LONG_BODY = 65_536;

    final String firstLine;
    final Map<String, String> headers;
    byte[] body = new byte[0];

    private Message(String firstLine, Map<String, String> headers) {
        this.firstLine = firstLine;
        this.headers = headers;
    }

    String header(String name) {
        return headers.get(name);
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String method() {
        return firstLine.split(" ")[0];
    }

    String path() {
        return firstLine.split(" ")[1];
    }

    /** Reads a head; `null` if the connection ends before it. */
    static Message readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        while (true) {
            String line = line(in);
            if (line == null) throw new EOFException("end within a head");
            if (line.isEmpty()) return new Message(first, headers);
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
    }

    /** Reads a whole message with a length or in chunks; `null` if the connection ends before it. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            message.body = chunks(in);
        } else if (message.header("Content-Length") != null) {
            message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) throw new EOFException("end within the chunks");
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            out.write(exactly(in, length));
            String end = line(in);
            if (end == null) throw new EOFException("end within the chunks");
            if (length == 0) return out.toByteArray();
        }
    }

    /** The bytes of a body or chunk; those of a long one are read and dropped. */
    private static byte[] exactly(InputStream in, int length) throws IOException {
        if (length > LONG_BODY) {
            in.skipNBytes(length);
            return new byte[0];
        }
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) throw new EOFException("end within a body");
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                if (out.size() == 0) return null;
                throw new EOFException("end within a line");
            }
            if (c == '\n') break;
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }
}
