package org.cardamomthread.daemon.testing;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * An endpoint that answers requests without a body with whatever bytes a script writes.
 *
 * <p>Each connection is served by a thread of its own. Thread-safe.
 */
public final class RawEndpoint implements AutoCloseable {

    private static final int BACKLOG = 50;
    private static final String END_OF_HEAD = "\r\n\r\n";
    private static final String ID_HEADER = "x-request-id: ";

    private final ServerSocket listener =
            new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Script script;

    /** Answers the requests of all connections. */
    public interface Script {

        /**
         * Answers a request.
         *
         * @param connection the connection on which the request was received
         * @param requestId the id of the request, or empty if it has none
         * @throws Exception if the connection is to be closed
         */
        void answer(Connection connection, String requestId) throws Exception;
    }

    /** A connection, and what is owed on it. Used by one thread. */
    public static final class Connection {

        private final Socket socket;
        private int requests;
        private String requestLine = "";
        private String owed = "";

        Connection(Socket socket) {
            this.socket = socket;
        }

        /**
         * Returns the number of requests that were received on the connection.
         *
         * @return the number, 1 during the first request
         */
        public int requests() {
            return requests;
        }

        /**
         * Returns the request line of the last request, each byte as one character.
         *
         * @return the line without its end
         */
        public String requestLine() {
            return requestLine;
        }

        /**
         * Keeps bytes for a later request.
         *
         * @param bytes what is owed
         */
        public void owe(String bytes) {
            owed = bytes;
        }

        /**
         * Returns what is owed, and owes it no longer.
         *
         * @return the bytes, empty if nothing is owed
         */
        public String takeOwed() {
            String taken = owed;
            owed = "";
            return taken;
        }

        /**
         * Writes bytes in one packet.
         *
         * @param bytes what to write
         * @throws IOException if the connection is closed
         */
        public void write(String bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    /**
     * Starts an endpoint on a free port.
     *
     * @param script answers the requests
     * @throws IOException if no port is free
     */
    public RawEndpoint(Script script) throws IOException {
        this.script = script;
        threads.submit(this::acceptConnections);
    }

    /**
     * Returns the address of the endpoint.
     *
     * @return the address as {@code ip:port}
     */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        threads.shutdownNow();
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                threads.submit(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Connection connection = new Connection(socket);
            InputStream in = socket.getInputStream();
            StringBuilder received = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                received.append((char) next);
                if (received.indexOf(END_OF_HEAD) >= 0) {
                    connection.requests++;
                    connection.requestLine = received.substring(0, received.indexOf("\r"));
                    script.answer(connection, readId(received.toString()));
                    received.setLength(0);
                }
            }
        } catch (Exception ended) {
            // The client has closed the connection, or the script ends it.
        }
    }

    private static String readId(String head) {
        int header = head.indexOf(ID_HEADER);
        if (header < 0) {
            return "";
        }
        int start = header + ID_HEADER.length();
        return head.substring(start, head.indexOf('\r', start));
    }
}
