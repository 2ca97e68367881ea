package org.cardamomthread.daemon.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.time.ManualTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the limits of {@link HttpServer} on clients that send without bound: what exceeds them is
 * refused as not run and does not run, and what is just within them is served.
 */
public class ClientLimitTests {

    private static final HttpLimits LIMITS = new HttpLimits(65_536, 100_000, 60_000, 60_000, 3);
    private static final ClientLimits CLIENT_LIMITS =
            new ClientLimits(10, 4, 1_000, 300, 300, 60_000);
    private static final int MEMORY_BYTES = 200_000;
    private static final int BUFFERED_BYTES = 128 * 1024;
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final String GET = "GET /x HTTP/1.1\r\n";
    private static final String CHUNKED = "POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    private static final String CLOSE = "connection: close\r\n";

    private final List<String> handled = new CopyOnWriteArrayList<>();
    private final List<LimitReason> reached = new CopyOnWriteArrayList<>();
    private final ManualTimeSource memoryTime = new ManualTimeSource();
    private ClientMemory memory;
    private EventLoopGroup eventLoops;
    private HttpServer server;

    @BeforeMethod
    public void start() throws ListenerBindException {
        handled.clear();
        reached.clear();
        eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        memory = new ClientMemory(MEMORY_BYTES, memoryTime);
        ClientGuard guard =
                new ClientGuard(CLIENT_LIMITS, memory, (listener, reason) -> reached.add(reason));
        server = new HttpServer("callers", eventLoops, LIMITS, guard, this::handle);
        server.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    @AfterMethod
    public void stop() {
        server.close();
        eventLoops.shutdownGracefully();
    }

    @DataProvider
    public Object[][] exceedingRequests() {
        return new Object[][] {
            {GET + "a: b\r\n".repeat(11) + "\r\n", "431", LimitReason.HEADER_LINES},
            {GET + "a: b\r\n" + " c\r\n".repeat(10), "431", LimitReason.HEADER_LINES},
            {GET + "a: " + "b".repeat(70_000), "431", LimitReason.HEADER_BYTES},
            {"\r\n".repeat(5) + GET + "\r\n", "400", LimitReason.EMPTY_LINES},
            {CHUNKED + "1\r\nx\r\n".repeat(300), "400", LimitReason.CHUNK_FRAMING},
            {CHUNKED + "1;" + "e".repeat(1_100) + "\r\nx\r\n", "400", LimitReason.CHUNK_FRAMING},
            {CHUNKED + "0\r\n" + "a: b\r\n".repeat(13), "431", LimitReason.TRAILER_LINES},
            {CHUNKED + "0\r\n" + "a: b\r\n".repeat(13) + "\r\n", "431", LimitReason.TRAILER_LINES},
            {GET + "a: b", "408", LimitReason.HEAD_TIMEOUT},
            {"\r\n", "408", LimitReason.HEAD_TIMEOUT},
            {CHUNKED + "2\r\nx", "408", LimitReason.BODY_STALLED},
        };
    }

    @Test(dataProvider = "exceedingRequests")
    public void refusesWithoutRunning(String request, String status, LimitReason reason)
            throws IOException {
        String response = exchange(request);
        assertTrue(response.startsWith("HTTP/1.1 " + status), response);
        assertTrue(response.contains("\"execution\":\"not-run\""), response);
        assertEquals(handled, List.of());
        assertEquals(reached, List.of(reason));
        assertEquals(server.getRequestsInProgress(), 0);
    }

    @DataProvider
    public Object[][] requestsWithinLimits() {
        String trailers = "0\r\n" + "a: b\r\n".repeat(10) + "\r\n";
        return new Object[][] {
            {GET + CLOSE + "a: b\r\n".repeat(9) + "\r\n"},
            {"\r\n".repeat(4) + GET + CLOSE + "\r\n"},
            {
                CHUNKED.replace("\r\n\r\n", "\r\n" + CLOSE + "\r\n")
                        + "1\r\nx\r\n".repeat(150)
                        + trailers
            },
        };
    }

    @Test(dataProvider = "requestsWithinLimits")
    public void servesWhatIsWithinTheLimits(String request) throws IOException {
        String response = exchange(request);
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertEquals(reached, List.of());
    }

    @Test(timeOut = READ_TIMEOUT_MS)
    public void refusesTheStalledBodyWhenMemoryIsShort() throws Exception {
        String head = "POST /x HTTP/1.1\r\ncontent-length: 90000\r\n" + CLOSE + "\r\n";
        try (Socket stalled = open()) {
            send(stalled, head + "x".repeat(BUFFERED_BYTES / 2 + 1));
            awaitHeldBytes(BUFFERED_BYTES);
            memoryTime.advanceMs(2_000);
            String response = exchange(head + "x".repeat(90_000));
            String refusal = read(stalled);
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
            assertTrue(refusal.contains("retry-after: 1"), refusal);
            assertEquals(handled.size(), 1);
        }
    }

    @Test(timeOut = READ_TIMEOUT_MS)
    public void closesTheLongestIdleConnectionForANewOne() throws Exception {
        try (Socket first = open()) {
            awaitHeldBytes(ClientMemory.CONNECTION_BYTES);
            memoryTime.advanceMs(1);
            assertLongestIdleIsClosed(first);
        }
    }

    private void assertLongestIdleIsClosed(Socket first) throws IOException {
        try (Socket second = open();
                Socket third = open()) {
            String response = exchange(GET + CLOSE + "\r\n");
            assertTrue(response.startsWith("HTTP/1.1 200"), response);
            assertEquals(read(first), "");
            send(second, GET + CLOSE + "\r\n");
            send(third, GET + CLOSE + "\r\n");
            assertFalse(read(second).isEmpty());
            assertFalse(read(third).isEmpty());
        }
        assertEquals(reached, List.of(LimitReason.CONNECTIONS));
    }

    /** Waits for the last byte of a body, by which its buffer grows to the given capacity. */
    private void awaitHeldBytes(long bytes) throws InterruptedException {
        while (memory.heldBytes() < bytes) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private void handle(HttpExchange exchange) {
        handled.add(exchange.getRequest().path());
        exchange.respond(ServerResponse.createText(200, "served"));
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = open()) {
            send(socket, request);
            return read(socket);
        }
    }

    private Socket open() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.getAddress().getPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String read(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
}
