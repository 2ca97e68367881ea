package org.cardamomthread.transport;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;

/**
 * TCP proxy to a port of the loopback interface that injects connection faults.
 *
 * <p>Thread-safe.
 */
public final class FaultInjectingProxy implements AutoCloseable {

    private static final int BUFFER_BYTES = 65_536;

    private final ServerSocket listener;
    private final List<Connection> connections = new CopyOnWriteArrayList<>();
    private volatile InetSocketAddress target;
    private volatile boolean rejectingConnections;
    private volatile UnaryOperator<byte[]> transformation = UnaryOperator.identity();

    /** Starts a proxy to a port of the loopback interface. */
    public FaultInjectingProxy(int targetPort) throws IOException {
        target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        start(this::acceptAll);
    }

    /** Returns the address on which the proxy accepts connections. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
    }

    /** Sets the port to which new connections are forwarded. */
    public void setTargetPort(int port) {
        target = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Drops the traffic of all open connections without closing them; forwards new connections. */
    public void dropTraffic() {
        connections.forEach(connection -> connection.droppingTraffic = true);
    }

    /** Closes all open connections, and each new one until {@link #acceptConnections()}. */
    public void disconnect() {
        rejectingConnections = true;
        connections.forEach(Connection::close);
    }

    /** Accepts new connections again. */
    public void acceptConnections() {
        rejectingConnections = false;
    }

    /** Sets the function that transforms each chunk of bytes sent to the target. */
    public void transformBytes(UnaryOperator<byte[]> newTransformation) {
        transformation = newTransformation;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        connections.forEach(Connection::close);
    }

    private void acceptAll() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                if (rejectingConnections) {
                    client.close();
                    continue;
                }
                Socket server = new Socket(target.getAddress(), target.getPort());
                Connection connection = new Connection(client, server);
                connections.add(connection);
                start(() -> connection.copy(client, server, true));
                start(() -> connection.copy(server, client, false));
            } catch (IOException e) {
                connections.removeIf(connection -> connection.client.isClosed());
            }
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "fault-injecting-proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private final class Connection {

        private final Socket client;
        private final Socket server;
        private volatile boolean droppingTraffic;

        Connection(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }

        void copy(Socket from, Socket to, boolean towardsTarget) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
                    byte[] chunk = java.util.Arrays.copyOf(buffer, length);
                    if (!droppingTraffic) {
                        out.write(towardsTarget ? transformation.apply(chunk) : chunk);
                    }
                }
            } catch (IOException e) {
                close();
            }
            if (!droppingTraffic) {
                close();
            }
        }

        void close() {
            try {
                client.close();
                server.close();
            } catch (IOException e) {
                throw new IllegalStateException(
                        "the sockets of a proxied connection could not be closed", e);
            }
        }
    }
}
