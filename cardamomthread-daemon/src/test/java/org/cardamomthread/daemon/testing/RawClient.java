package org.cardamomthread.daemon.testing;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends whatever bytes it is given. Stateless. */
public final class RawClient {

    private static final int SOCKET_TIMEOUT_MS = 10_000;

    private RawClient() {}

    /**
     * Sends bytes on a connection of their own and returns what is received until it is closed.
     *
     * @param port the port on loopback
     * @param bytes what to send, one byte for each character
     * @return the received bytes, one character for each byte
     * @throws IOException if the connection fails
     */
    public static String send(int port, String bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    /**
     * Returns the status of a response.
     *
     * @param response the bytes of the response
     * @return the status code, or {@code none} if the response has none
     */
    public static String statusOf(String response) {
        return response.length() < 12 ? "none" : response.substring(9, 12);
    }
}
