import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy on the way to one address, whose open connections can go silent while new ones work. */
final class Links implements AutoCloseable {
    private static final class Link {
        final Socket near;
        final Socket far;
        volatile boolean isSilent;

        Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }
    }

    final InetSocketAddress address;
    private final InetSocketAddress target;
    private final ServerSocket listener;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    Links(String host, InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 200);
        address = new InetSocketAddress(host, listener.getLocalPort());
        Http.daemon("links", this::accept);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket();
                far.connect(target, 1_000);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                Link link = new Link(near, far);
                links.add(link);
                Http.daemon("out", () -> pump(link, near, far));
                Http.daemon("back", () -> pump(link, far, near));
            } catch (IOException error) {
                Scenario.sleep(5);
            }
        }
    }

    private void pump(Link link, Socket from, Socket to) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                if (link.isSilent) {
                    // Nothing passes any more, neither bytes nor the end.
                    if (count < 0) return;
                    continue;
                }
                if (count < 0) break;
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException error) {
            if (link.isSilent) return;
        }
        try {
            link.near.close();
            link.far.close();
        } catch (IOException error) {
            // Closed already.
        }
        links.remove(link);
    }

    /** Lets the connections that are open now go silent; returns their number. */
    int silence() {
        int count = 0;
        for (Link link : links) {
            link.isSilent = true;
            count++;
        }
        return count;
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
