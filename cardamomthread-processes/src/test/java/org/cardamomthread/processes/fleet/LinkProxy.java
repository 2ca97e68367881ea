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
 * Forwards connections to a local port and injects connection faults on demand. Safe for use by
 * several threads.
 */
final class LinkProxy implements AutoCloseable {

    private static final int BUFFER_BYTES = 4_096;

    private final int port = Ports.reserve();
    private final int targetPort;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile long delayMs;
    private volatile boolean isDropping;

    LinkProxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress("127.0.0.1", port), 100);
        startThread(this::accept);
    }

    int port() {
        return port;
    }

    /** Delays each chunk of data in both directions. */
    void setDelay(long newDelayMs) {
        delayMs = newDelayMs;
    }

    /** Starts or stops dropping all data without closing connections. */
    void setDropping(boolean newIsDropping) {
        isDropping = newIsDropping;
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
            throw new IllegalStateException("cannot close the listener of the proxy", e);
        }
        reset();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket inner = new Socket();
                Socket outer = listener.accept();
                inner.connect(new InetSocketAddress("127.0.0.1", targetPort));
                sockets.add(outer);
                sockets.add(inner);
                startThread(() -> forward(outer, inner));
                startThread(() -> forward(inner, outer));
            } catch (IOException closed) {
                if (!listener.isClosed()) {
                    reset();
                }
            }
        }
    }

    private void forward(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            int count = in.read(buffer);
            while (count >= 0) {
                if (delayMs > 0) {
                    Thread.sleep(delayMs);
                }
                if (!isDropping) {
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
            // The socket is closed already.
        }
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "link-proxy");
        thread.setDaemon(true);
        thread.start();
    }
}
