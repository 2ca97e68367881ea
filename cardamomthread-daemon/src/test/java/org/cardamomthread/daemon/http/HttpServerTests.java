package org.cardamomthread.daemon.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link HttpServer} over loopback connections. */
public class HttpServerTests {

    private static final InetSocketAddress ANY_PORT = new InetSocketAddress("127.0.0.1", 0);
    private static final HttpLimits LIMITS = new HttpLimits(512, 1_000, 300, 60_000, 100);
    private static final int READ_TIMEOUT_MS = 10_000;

    private EventLoopGroup eventLoops;
    private HttpServer server;
    private volatile CompletableFuture<HttpExchange> heldExchange = new CompletableFuture<>();

    @BeforeClass
    public void start() throws ListenerBindException {
        eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new HttpServer("callers", eventLoops, LIMITS, this::handle);
        server.listen(ANY_PORT);
    }

    @AfterClass
    public void stop() {
        server.close();
        eventLoops.shutdownGracefully();
    }

    @DataProvider
    public Object[][] invalidRequests() {
        String longValue = "x".repeat(600);
        return new Object[][] {
            {"NOT HTTP AT ALL\r\n\r\n", "400"},
            {"GET / HTTP/1.1\r\nx-long: " + longValue + "\r\n\r\n", "431"},
            {"GET /" + longValue + " HTTP/1.1\r\n\r\n", "431"},
            {"POST /echo HTTP/1.1\r\ncontent-length: 5000\r\n\r\n", "413"},
            {"POST /echo HTTP/1.1\r\ncontent-length: 10\r\n\r\nhalf", "408"},
            {"POST /echo HTTP/1.1\r\ncontent-length: abc\r\n\r\n", "400"},
            {"GET /echo HTTP/9.9\r\n\r\n", "505"},
        };
    }

    @Test(dataProvider = "invalidRequests")
    public void respondsToAnInvalidRequestWithAProblem(String request, String status)
            throws IOException {
        String response = exchange(request);
        assertTrue(response.startsWith("HTTP/1.1 " + status), response);
        assertTrue(response.contains("\"execution\":\"not-run\""), response);
        assertEquals(server.getRequestsInProgress(), 0);
    }

    @Test(dependsOnMethods = "respondsToAnInvalidRequestWithAProblem")
    public void servesValidRequestsAfterInvalidOnes() throws IOException {
        String response =
                exchange(
                        "POST /echo HTTP/1.1\r\ncontent-length: 4\r\n"
                                + "connection: close\r\n\r\nbody");
        assertTrue(response.startsWith("HTTP/1.1 200"), response);
        assertTrue(response.endsWith("body"), response);
    }

    @Test
    public void answersPipelinedRequestsInOrder() throws IOException {
        String response =
                exchange(
                        "POST /echo HTTP/1.1\r\ncontent-length: 3\r\n\r\none"
                                + "POST /echo HTTP/1.1\r\ncontent-length: 3\r\n"
                                + "connection: close\r\n\r\ntwo");
        assertTrue(response.indexOf("one") < response.indexOf("two"), response);
        assertTrue(response.indexOf("one") > 0, response);
    }

    @Test
    public void notifiesTheHandlerOfADisconnect() throws Exception {
        heldExchange = new CompletableFuture<>();
        CompletableFuture<Void> notified = new CompletableFuture<>();
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes("GET /hold HTTP/1.1\r\n\r\n"));
            heldExchange.get().onDisconnect(() -> notified.complete(null));
        }
        notified.get();
    }

    @Test
    public void truncatesAnAbortedStream() throws IOException {
        String response = exchange("GET /abort HTTP/1.1\r\n\r\n");
        assertTrue(response.contains("part"), response);
        assertTrue(!response.contains("0\r\n\r\n"), response);
    }

    @Test
    public void closesIdleConnectionsAndFinishesBusyOnesWhenStopping() throws Exception {
        HttpServer stopping = new HttpServer("callers", eventLoops, LIMITS, this::handle);
        stopping.listen(new InetSocketAddress("127.0.0.1", 0));
        heldExchange = new CompletableFuture<>();
        try (Socket idle = new Socket("127.0.0.1", stopping.getAddress().getPort());
                Socket busy = new Socket("127.0.0.1", stopping.getAddress().getPort())) {
            idle.getOutputStream().write(bytes("POST /echo HTTP/1.1\r\ncontent-length: 0\r\n\r\n"));
            assertTrue(idle.getInputStream().read() >= 0);
            busy.getOutputStream().write(bytes("GET /hold HTTP/1.1\r\n\r\n"));
            heldExchange.get();
            stopping.closeIdleConnections();
            String idleResponse =
                    new String(idle.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(idleResponse.startsWith("TTP/1.1 200"), idleResponse);
            heldExchange.get().respond(ServerResponse.createText(200, "late"));
            String busyResponse =
                    new String(busy.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(busyResponse.endsWith("late"), busyResponse);
        }
        stopping.close();
    }

    @Test
    public void reportsTheListenerAndRemedyIfThePortIsInUse() {
        HttpServer second = new HttpServer("callers", eventLoops, LIMITS, this::handle);
        ListenerBindException exception =
                expectThrows(ListenerBindException.class, () -> second.listen(server.getAddress()));
        assertTrue(exception.getMessage().contains("listeners.callers"), exception.getMessage());
    }

    private void handle(HttpExchange exchange) {
        ServerRequest request = exchange.getRequest();
        switch (request.path()) {
            case "/hold" -> heldExchange.complete(exchange);
            case "/abort" -> {
                ResponseStream stream = exchange.startStream(200, new DefaultHttpHeaders());
                stream.write(bytes("part"));
                stream.abort();
            }
            default -> exchange.respond(ServerResponse.create(200, "text/plain", request.body()));
        }
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes(request));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private Socket open() throws IOException {
        Socket socket = new Socket();
        socket.connect(server.getAddress());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
