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
    private volatile CompletableFuture<HttpExchange> held = new CompletableFuture<>();

    @BeforeClass
    public void start() throws ListenException {
        eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new HttpServer("callers", eventLoops, LIMITS, this::answer);
        server.listen(ANY_PORT);
    }

    @AfterClass
    public void stop() {
        server.close();
        eventLoops.shutdownGracefully();
    }

    @DataProvider
    public Object[][] badRequests() {
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

    @Test(dataProvider = "badRequests")
    public void answersABreachOfALimitWithAProblem(String request, String status)
            throws IOException {
        String answer = exchange(request);
        assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
        assertTrue(answer.contains("\"execution\":\"not-run\""), answer);
        assertEquals(server.getRequestsInProgress(), 0);
    }

    @Test(dependsOnMethods = "answersABreachOfALimitWithAProblem")
    public void goesOnAfterBadRequests() throws IOException {
        String answer =
                exchange(
                        "POST /echo HTTP/1.1\r\ncontent-length: 4\r\n"
                                + "connection: close\r\n\r\nbody");
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        assertTrue(answer.endsWith("body"), answer);
    }

    @Test
    public void answersPipelinedRequestsInOrder() throws IOException {
        String answer =
                exchange(
                        "POST /echo HTTP/1.1\r\ncontent-length: 3\r\n\r\none"
                                + "POST /echo HTTP/1.1\r\ncontent-length: 3\r\n"
                                + "connection: close\r\n\r\ntwo");
        assertTrue(answer.indexOf("one") < answer.indexOf("two"), answer);
        assertTrue(answer.indexOf("one") > 0, answer);
    }

    @Test
    public void tellsTheHandlerOfADisconnect() throws Exception {
        held = new CompletableFuture<>();
        CompletableFuture<Void> told = new CompletableFuture<>();
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes("GET /hold HTTP/1.1\r\n\r\n"));
            held.get().onDisconnect(() -> told.complete(null));
        }
        told.get();
    }

    @Test
    public void truncatesAnAbortedStreamVisibly() throws IOException {
        String answer = exchange("GET /abort HTTP/1.1\r\n\r\n");
        assertTrue(answer.contains("part"), answer);
        assertTrue(!answer.contains("0\r\n\r\n"), answer);
    }

    @Test
    public void closesIdleConnectionsAndFinishesBusyOnesBeforeItStops() throws Exception {
        HttpServer stopping = new HttpServer("callers", eventLoops, LIMITS, this::answer);
        stopping.listen(new InetSocketAddress("127.0.0.1", 0));
        held = new CompletableFuture<>();
        try (Socket idle = new Socket("127.0.0.1", stopping.getAddress().getPort());
                Socket busy = new Socket("127.0.0.1", stopping.getAddress().getPort())) {
            idle.getOutputStream().write(bytes("POST /echo HTTP/1.1\r\ncontent-length: 0\r\n\r\n"));
            assertTrue(idle.getInputStream().read() >= 0);
            busy.getOutputStream().write(bytes("GET /hold HTTP/1.1\r\n\r\n"));
            held.get();
            stopping.stopTakingRequests();
            String rest = new String(idle.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(rest.startsWith("TTP/1.1 200"), rest);
            held.get().respond(HttpReply.createText(200, "late"));
            String late = new String(busy.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(late.endsWith("late"), late);
        }
        stopping.close();
    }

    @Test
    public void namesTheListenerAndRemedyIfThePortIsInUse() {
        HttpServer second = new HttpServer("callers", eventLoops, LIMITS, this::answer);
        ListenException refused =
                expectThrows(ListenException.class, () -> second.listen(server.getAddress()));
        assertTrue(refused.getMessage().contains("listeners.callers"), refused.getMessage());
    }

    private void answer(HttpExchange exchange) {
        HttpCall call = exchange.getCall();
        switch (call.path()) {
            case "/hold" -> held.complete(exchange);
            case "/abort" -> {
                ResponseStream stream = exchange.startStream(200, new DefaultHttpHeaders());
                stream.write(bytes("part"));
                stream.abort();
            }
            default -> exchange.respond(HttpReply.create(200, "text/plain", call.body()));
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
