package org.cardamomthread.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Reserves ports for processes started by tests.
 *
 * <p>The ports lie below the range used for outgoing connections. Each is reserved by a socket on a
 * loopback address that nothing else uses, held until this process ends, so that parallel test runs
 * on one machine use different ports. Safe for use by several threads.
 */
public final class Ports {

    /** The range ends below 32768, the first port used for outgoing connections. */
    private static final int FIRST_PORT = 12_000;

    private static final int LAST_PORT = 31_999;
    private static final int MAX_ATTEMPTS = 2_000;
    private static final String RESERVATION_ADDRESS = "127.99.99.99";
    private static final List<ServerSocket> RESERVATIONS = new ArrayList<>();

    private Ports() {}

    /** Returns a port that is free on 127.0.0.1, reserved until this process ends. */
    public static int reserve() throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT + 1);
            ServerSocket reservation = tryBind(RESERVATION_ADDRESS, port);
            if (reservation == null) {
                continue;
            }
            ServerSocket probe = tryBind("127.0.0.1", port);
            if (probe == null) {
                reservation.close();
                continue;
            }
            probe.close();
            synchronized (RESERVATIONS) {
                RESERVATIONS.add(reservation);
            }
            return port;
        }
        throw new IOException(
                "no free port between " + FIRST_PORT + " and " + LAST_PORT + " was found");
    }

    private static ServerSocket tryBind(String address, int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        try {
            socket.bind(new InetSocketAddress(InetAddress.getByName(address), port), 1);
            return socket;
        } catch (IOException taken) {
            socket.close();
            return null;
        }
    }
}
