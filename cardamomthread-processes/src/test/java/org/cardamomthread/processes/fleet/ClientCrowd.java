package org.cardamomthread.processes.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Connections that each send the same bytes, read nothing, and stay open until the crowd is closed.
 *
 * <p>Not thread-safe.
 */
final class ClientCrowd implements AutoCloseable {

    /** Largest part sent to one connection in a turn, so that all connections advance together. */
    private static final int MAX_TURN_BYTES = 64 * 1024;

    /** Time after which a crowd of which no connection takes any byte is taken to be stalled. */
    private static final long STALL_MS = 3_000;

    /** Time after which the crowd stops sending, for payloads that the process never refuses. */
    private static final long MAX_SEND_MS = 60_000;

    private static final long POLL_INTERVAL_MS = 5;
    private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;

    private final List<SocketChannel> connections = new ArrayList<>();

    /** Opens the connections; those that the process does not accept are left out. */
    ClientCrowd(InetSocketAddress address, int count) {
        for (int i = 0; i < count; i++) {
            try {
                SocketChannel connection = SocketChannel.open();
                connections.add(connection);
                connection.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
                connection.configureBlocking(false);
                connection.connect(address);
            } catch (IOException refused) {
                System.err.println("connection " + i + " was not opened: " + refused);
            }
        }
    }

    /** Sends the bytes on each connection, until all are sent, refused, or no longer taken. */
    void send(byte[] payload) throws InterruptedException {
        List<ByteBuffer> remaining = new ArrayList<>();
        connections.forEach(connection -> remaining.add(ByteBuffer.wrap(payload)));
        long startNs = System.nanoTime();
        long progressNs = startNs;
        while (isWithin(progressNs, STALL_MS) && isWithin(startNs, MAX_SEND_MS)) {
            boolean isUnfinished = false;
            boolean hasProgress = false;
            for (int i = 0; i < connections.size(); i++) {
                ByteBuffer part = remaining.get(i);
                int before = part.remaining();
                boolean isConnected = write(connections.get(i), part);
                hasProgress |= part.remaining() < before;
                isUnfinished |= part.hasRemaining() || !isConnected;
            }
            if (!isUnfinished) {
                return;
            }
            if (hasProgress) {
                progressNs = System.nanoTime();
            } else {
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            }
        }
    }

    /**
     * Writes what the connection takes now, and returns whether it is established or was refused; a
     * refused connection has nothing left to write.
     */
    private static boolean write(SocketChannel connection, ByteBuffer payload) {
        try {
            if (!connection.finishConnect()) {
                return false;
            }
            int end = payload.limit();
            payload.limit(Math.min(end, payload.position() + MAX_TURN_BYTES));
            try {
                connection.write(payload);
            } finally {
                payload.limit(end);
            }
        } catch (IOException refused) {
            payload.position(payload.limit());
        }
        return true;
    }

    private static boolean isWithin(long startNs, long durationMs) {
        return System.nanoTime() - startNs < TimeUnit.MILLISECONDS.toNanos(durationMs);
    }

    @Override
    public void close() throws IOException {
        for (SocketChannel connection : connections) {
            connection.close();
        }
    }
}
