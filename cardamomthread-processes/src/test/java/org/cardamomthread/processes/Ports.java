package org.cardamomthread.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Reserves ports for the processes of tests.
 *
 * <p>The ports lie below those that outgoing connections use. Each is held by a socket on a
 * loopback address that nothing else uses, for as long as this process lives, so that parallel runs
 * on one machine take different ones. Safe for use by several threads.
 */
public final class Ports {

    /** Outgoing connections take ports from 32768 on. */
    private static final int FIRST = 12_000;

    private static final int LAST = 31_999;
    private static final int MAX_TRIES = 2_000;
    private static final String GUARD_ADDRESS = "127.99.99.99";
    private static final List<ServerSocket> GUARDS = new ArrayList<>();

    private Ports() {}

    /** Reserves a port that is free on the loopback address. */
    public static int reserve() throws IOException {
        for (int i = 0; i < MAX_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST, LAST + 1);
            ServerSocket guard = tryBind(GUARD_ADDRESS, port);
            if (guard == null) {
                continue;
            }
            ServerSocket probe = tryBind("127.0.0.1", port);
            if (probe == null) {
                guard.close();
                continue;
            }
            probe.close();
            synchronized (GUARDS) {
                GUARDS.add(guard);
            }
            return port;
        }
        throw new IOException("no free port from " + FIRST + " to " + LAST + " was found");
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
