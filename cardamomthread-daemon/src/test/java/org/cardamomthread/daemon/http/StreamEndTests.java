package org.cardamomthread.daemon.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that clients of {@link HttpServer} can tell an aborted stream from a complete one. */
public class StreamEndTests {

    private static final HttpLimits LIMITS = new HttpLimits(512, 1_000, 300, 60_000, 100);
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final int LARGE_PART_BYTES = 16 << 20;
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private EventLoopGroup eventLoops;
    private HttpServer server;
    private CompletableFuture<ResponseStream> stream;

    /** The ways in which a stream ends. */
    private enum Ending {
        FINISH,
        FINISH_WITH_PENDING_BYTES,
        ABORT,
        ABORT_WITH_PENDING_BYTES,
        FINISH_WHILE_STOPPING,
        CLOSE_SERVER
    }

    @BeforeMethod
    public void start() throws ListenerBindException {
        stream = new CompletableFuture<>();
        eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server =
                new HttpServer(
                        "callers",
                        eventLoops,
                        LIMITS,
                        exchange ->
                                stream.complete(
                                        exchange.startStream(200, new DefaultHttpHeaders())));
        server.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    @AfterMethod
    public void stop() {
        server.close();
        eventLoops.shutdownGracefully();
    }

    @DataProvider
    public Object[][] endings() {
        return new Object[][] {
            {"1.1", Ending.FINISH, true},
            {"1.1", Ending.FINISH_WITH_PENDING_BYTES, true},
            {"1.1", Ending.FINISH_WHILE_STOPPING, true},
            {"1.1", Ending.ABORT, false},
            {"1.1", Ending.ABORT_WITH_PENDING_BYTES, false},
            {"1.1", Ending.CLOSE_SERVER, false},
            {"1.0", Ending.FINISH, true},
            {"1.0", Ending.FINISH_WITH_PENDING_BYTES, true},
            {"1.0", Ending.FINISH_WHILE_STOPPING, true},
            {"1.0", Ending.ABORT, false},
            {"1.0", Ending.ABORT_WITH_PENDING_BYTES, false},
            {"1.0", Ending.CLOSE_SERVER, false},
        };
    }

    @Test(dataProvider = "endings")
    public void onlyAFinishedStreamLooksComplete(String version, Ending ending, boolean expected)
            throws Exception {
        Received received = receive("GET /x HTTP/" + version + "\r\n\r\n", ending);
        boolean isComplete =
                version.equals("1.0")
                        ? received.isClosedInOrder()
                        : received.text().endsWith(LAST_CHUNK);
        assertEquals(isComplete, expected);
        if (ending == Ending.FINISH_WITH_PENDING_BYTES) {
            assertTrue(received.text().length() > LARGE_PART_BYTES);
        }
    }

    @DataProvider
    public Object[][] oldRequests() {
        return new Object[][] {
            {"GET /x HTTP/1.0\r\n\r\n"}, {"GET /x HTTP/1.0\r\nconnection: keep-alive\r\n\r\n"},
        };
    }

    @Test(dataProvider = "oldRequests")
    public void sendsNoChunksToHttp10Clients(String request) throws Exception {
        Received received = receive(request, Ending.FINISH);
        assertTrue(received.text().endsWith("\r\n\r\npart"), received.text());
        assertFalse(received.text().contains("chunked"), received.text());
        assertTrue(received.isClosedInOrder());
    }

    private Received receive(String request, Ending ending) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", server.getAddress().getPort())) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            ResponseStream started = stream.get(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            started.write("part".getBytes(StandardCharsets.UTF_8));
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            while (!received.toString(StandardCharsets.UTF_8).contains("part")) {
                received.write(socket.getInputStream().read());
            }
            end(started, ending);
            boolean isClosedInOrder = readUntilEnd(socket.getInputStream(), received);
            return new Received(received.toString(StandardCharsets.UTF_8), isClosedInOrder);
        }
    }

    private void end(ResponseStream started, Ending ending) {
        switch (ending) {
            case FINISH -> started.finish();
            case FINISH_WITH_PENDING_BYTES -> {
                started.write(new byte[LARGE_PART_BYTES]);
                started.finish();
            }
            case FINISH_WHILE_STOPPING -> {
                server.closeIdleConnections();
                started.finish();
            }
            case ABORT -> started.abort();
            case ABORT_WITH_PENDING_BYTES -> {
                started.write(new byte[LARGE_PART_BYTES]);
                started.abort();
            }
            case CLOSE_SERVER -> server.close();
            default -> throw new IllegalArgumentException("unknown ending " + ending);
        }
    }

    /** Returns whether the server closed the connection in order, or kept it after the stream. */
    private static boolean readUntilEnd(InputStream input, ByteArrayOutputStream received)
            throws IOException {
        byte[] buffer = new byte[64 * 1024];
        try {
            while (!endsWithLastChunk(received)) {
                int count = input.read(buffer);
                if (count < 0) {
                    return true;
                }
                received.write(buffer, 0, count);
            }
            return true;
        } catch (SocketException reset) {
            return false;
        }
    }

    private static boolean endsWithLastChunk(ByteArrayOutputStream received) {
        int from = Math.max(0, received.size() - LAST_CHUNK.length());
        byte[] bytes = received.toByteArray();
        return new String(bytes, from, bytes.length - from, StandardCharsets.UTF_8)
                .equals(LAST_CHUNK);
    }

    private record Received(String text, boolean isClosedInOrder) {}
}
