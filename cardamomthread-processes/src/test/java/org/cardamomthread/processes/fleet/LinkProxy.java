package org.cardamomthread.processes.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.cardamomthread.processes.Ports;

/**
 * Passes connections on to a port of this host and harms them on demand. Safe for use by several
 * threads.
 */
final class LinkProxy implements AutoCloseable {

    private static final int BUFFER_BYTES = 4_096;

    private final int port = Ports.reserve();
    private final int target;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile long delayMs;
    private volatile boolean silent;

    LinkProxy(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress("127.0.0.1", port), 100);
        startThread(this::accept);
    }

    int port() {
        return port;
    }

    /** Delays each piece of data in both directions. */
    void delay(long newDelayMs) {
        delayMs = newDelayMs;
    }

    /** Drops all data without closing a connection, or ends that for new data. */
    void silence(boolean isSilent) {
        silent = isSilent;
    }

    /** Resets all open connections. */
    void reset() {
        for (Socket socket : sockets) {
            closeWithReset(socket);
        }
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new IllegalStateException("the proxy's listener must close", e);
        }
        reset();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket inner = new Socket();
                Socket outer = listener.accept();
                inner.connect(new InetSocketAddress("127.0.0.1", target));
                sockets.add(outer);
                sockets.add(inner);
                startThread(() -> pump(outer, inner));
                startThread(() -> pump(inner, outer));
            } catch (IOException closed) {
                if (!listener.isClosed()) {
                    reset();
                }
            }
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            int count = in.read(buffer);
            while (count >= 0) {
                if (delayMs > 0) {
                    Thread.sleep(delayMs);
                }
                if (!silent) {
                    out.write(buffer, 0, count);
                    out.flush();
                }
                count = in.read(buffer);
            }
        } catch (IOException ended) {
            closeWithReset(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(from);
        }
    }

    private static void closeWithReset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException alreadyClosed) {
            // Nothing is left to close.
        }
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "link-proxy");
        thread.setDaemon(true);
        thread.start();
    }
}
