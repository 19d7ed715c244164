import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: lines with the seconds since its start. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Seconds since the start of the run. */
    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%8.3f %s", now(), text));
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
