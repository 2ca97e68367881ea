import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;

/** A link with a delay: all bytes, and the end of a channel, arrive that much later. */
final class DelayProxy implements AutoCloseable {

    private static final byte[] END = new byte[0];

    /** Bytes and the time at which they are due at the other side. */
    private record Segment(byte[] bytes, long dueMs) {}

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private volatile long delayMs;

    DelayProxy(String ip, InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 50);
        start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    void setDelay(long newDelayMs) {
        delayMs = newDelayMs;
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket();
                far.connect(target, 1_000);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                forward(near, far);
                forward(far, near);
            } catch (IOException e) {
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    private void forward(Socket from, Socket to) {
        LinkedBlockingQueue<Segment> segments = new LinkedBlockingQueue<>();
        start(() -> read(from, segments));
        start(() -> write(to, segments));
    }

    private void read(Socket from, LinkedBlockingQueue<Segment> segments) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                segments.add(new Segment(java.util.Arrays.copyOf(buffer, count), dueMs()));
            }
        } catch (IOException ignored) {
            // A reset channel ends at the other side as a closed one does.
        }
        segments.add(new Segment(END, dueMs()));
    }

    private void write(Socket to, LinkedBlockingQueue<Segment> segments) {
        try {
            while (true) {
                Segment segment = segments.take();
                Thread.sleep(Math.max(0, segment.dueMs() - System.nanoTime() / 1_000_000));
                if (segment.bytes() == END) {
                    to.shutdownOutput();
                    return;
                }
                to.getOutputStream().write(segment.bytes());
            }
        } catch (IOException | InterruptedException e) {
            closeQuietly(to);
        }
    }

    private long dueMs() {
        return System.nanoTime() / 1_000_000 + delayMs;
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // The channel has ended already.
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
