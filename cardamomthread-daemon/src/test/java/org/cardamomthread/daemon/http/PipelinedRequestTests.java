package org.cardamomthread.daemon.http;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a request leaves to the next one on the same connection. */
public class PipelinedRequestTests {

    private static final HttpLimits LIMITS = new HttpLimits(512, 1_000, 300, 60_000, 100);
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 (\\d{3}) ");
    private static final Pattern BODY = Pattern.compile("<([^>]*)>");

    /** Looks like a request wherever the rest of a body is due. */
    private static final String NEXT = "GET /next HTTP/1.1\r\n\r\n";

    /** Ends the connection, so that the client can read up to its end. */
    private static final String LAST = "GET /last HTTP/1.1\r\nconnection: close\r\n\r\n";

    private final List<String> handled = new CopyOnWriteArrayList<>();
    private EventLoopGroup eventLoops;
    private HttpServer server;

    @BeforeMethod
    public void start() throws ListenerBindException {
        handled.clear();
        eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        server = new HttpServer("callers", eventLoops, LIMITS, this::handle);
        server.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    @AfterMethod
    public void stop() {
        server.close();
        eventLoops.shutdownGracefully();
    }

    @DataProvider
    public Object[][] endingRequests() {
        String post = "POST /x HTTP/1.1\r\n";
        String old = "POST /x HTTP/1.0\r\nconnection: keep-alive\r\n";
        String chunked = "transfer-encoding: chunked\r\n";
        return new Object[][] {
            {"body too long", post + "content-length: 5000\r\n\r\n", "413"},
            {"version", "POST /x HTTP/9.9\r\ncontent-length: 23\r\n\r\n", "505"},
            {"unknown coding", post + "transfer-encoding: gzip\r\n\r\n", "400"},
            {"no coding", post + "transfer-encoding: xchunked\r\n\r\n", "400"},
            {"coding after chunked", post + "transfer-encoding: chunked, gzip\r\n\r\n", "400"},
            {"length and chunked", post + "content-length: 0\r\n" + chunked + "\r\n", "400"},
            {"chunked before HTTP/1.1", old + chunked + "\r\n0\r\n\r\n", "400"},
            {"two lengths", post + "content-length: 0\r\ncontent-length: 23\r\n\r\n", "400"},
            {"list of lengths", post + "content-length: 0, 23\r\n\r\n", "400"},
            {"length with a sign", post + "content-length: +0\r\n\r\n", "400"},
            {"name with a space", post + "content-length : 23\r\n\r\n", "400"},
            {"folded length", post + "content-length:\r\n 23\r\n\r\n", "400"},
            {"line feeds", "POST /x HTTP/1.1\ncontent-length: 0\n\n", "400"},
            {"no chunk size", post + chunked + "\r\nzz\r\n", "400"},
            {"chunk above its size", post + chunked + "\r\n1\r\nabc\r\n0\r\n\r\n", "400"},
        };
    }

    @Test(dataProvider = "endingRequests")
    public void runsNothingAfterARequestWhoseEndIsUnknown(
            String name, String request, String status) throws IOException {
        String received = exchange(request + NEXT + NEXT);
        assertEquals(findAll(STATUS, received), List.of(status), received);
        assertEquals(handled, List.of());
    }

    @DataProvider
    public Object[][] closingRequests() {
        return new Object[][] {
            {"GET /x HTTP/1.1\r\nconnection: close\r\n\r\n", "/x"},
            {"GET /x HTTP/1.0\r\n\r\n", "/x"},
            {"GET /aborted HTTP/1.1\r\n\r\n", "/aborted"},
        };
    }

    @Test(dataProvider = "closingRequests")
    public void runsNothingAfterAResponseThatClosesTheConnection(String request, String path)
            throws IOException {
        String received = exchange(request + NEXT + NEXT);
        assertEquals(findAll(STATUS, received), List.of("200"), received);
        assertEquals(handled, List.of(path));
    }

    @DataProvider
    public Object[][] keptRequests() {
        String continued = "expect: 100-continue\r\ncontent-length: 1\r\n\r\na";
        return new Object[][] {
            {"GET /x HTTP/1.1\r\n\r\n", List.of("200"), List.of("/x")},
            {"HEAD /x HTTP/1.1\r\n\r\n", List.of("200"), List.of()},
            {"HEAD /stream HTTP/1.1\r\n\r\n", List.of("200"), List.of()},
            {"GET /stream HTTP/1.1\r\n\r\n", List.of("200"), List.of("/stream")},
            {"GET /204 HTTP/1.1\r\n\r\n", List.of("204"), List.of()},
            {"GET /304 HTTP/1.1\r\n\r\n", List.of("304"), List.of()},
            {"POST /x HTTP/1.1\r\n" + continued, List.of("100", "200"), List.of("/x")},
            {"HEAD /x HTTP/1.1\r\n" + continued, List.of("100", "200"), List.of()},
        };
    }

    @Test(dataProvider = "keptRequests")
    public void answersTheNextRequestsWithTheirOwnResponses(
            String request, List<String> statuses, List<String> bodies) throws IOException {
        String received = exchange(request + "HEAD /empty HTTP/1.1\r\n\r\n" + NEXT + LAST);
        List<String> expectedStatuses = new ArrayList<>(statuses);
        expectedStatuses.addAll(List.of("200", "200", "200"));
        List<String> expectedBodies = new ArrayList<>(bodies);
        expectedBodies.addAll(List.of("/next", "/last"));
        assertEquals(findAll(STATUS, received), expectedStatuses, received);
        assertEquals(findAll(BODY, received), expectedBodies, received);
    }

    @Test
    public void takesBytesThatAreDueForABodyAsThatBody() throws IOException {
        int missing = 4;
        String request = "POST /x HTTP/1.1\r\ncontent-length: " + (missing + NEXT.length());
        String received = exchange(request + "\r\n\r\n" + "half" + NEXT + LAST);
        assertEquals(handled, List.of("/x", "/last"));
        assertEquals(findAll(BODY, received), List.of("/x", "/last"), received);
    }

    @Test
    public void sendsNothingToAClientThatHasClosedItsSide() throws Exception {
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes("GET /held HTTP/1.1\r\n\r\n" + NEXT));
            socket.shutdownOutput();
            assertEquals(read(socket), "");
        }
        assertEquals(handled, List.of("/held"));
        awaitNoRequestInProgress();
    }

    /** The server counts a request as ended only after the client has seen the close. */
    private void awaitNoRequestInProgress() throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MS);
        while (server.getRequestsInProgress() > 0 && System.nanoTime() < endNs) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertEquals(server.getRequestsInProgress(), 0);
    }

    private void handle(HttpExchange exchange) {
        String path = exchange.getRequest().path();
        handled.add(path);
        String body = "<" + path + ">";
        switch (path) {
            case "/held" -> exchange.onDisconnect(() -> respond(exchange, 200, body));
            case "/stream" -> {
                ResponseStream stream = exchange.startStream(200, new DefaultHttpHeaders());
                stream.write(bytes(body));
                stream.finish();
            }
            case "/aborted" -> {
                ResponseStream stream = exchange.startStream(200, new DefaultHttpHeaders());
                stream.write(bytes(body));
                stream.abort();
            }
            case "/204", "/304" -> respond(exchange, Integer.parseInt(path.substring(1)), body);
            default -> respond(exchange, 200, body);
        }
    }

    private static void respond(HttpExchange exchange, int status, String body) {
        exchange.respond(ServerResponse.createText(status, body));
    }

    private String exchange(String requests) throws IOException {
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes(requests));
            return read(socket);
        }
    }

    private Socket open() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.getAddress().getPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private static String read(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static List<String> findAll(Pattern pattern, String text) {
        List<String> found = new ArrayList<>();
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            found.add(matcher.group(1));
        }
        return found;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
