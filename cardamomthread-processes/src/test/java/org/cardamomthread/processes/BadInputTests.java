package org.cardamomthread.processes;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that invalid input is rejected with a specific error and does not disrupt the node. */
@Test(groups = "processes")
public class BadInputTests {

    private static final String BOOKINGS = "/services/bookings/bookings";
    private static final String HEAD =
            "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
                    + HttpCalls.CALLER_TOKEN
                    + "\r\n";

    private Cluster cluster;

    @BeforeClass
    public void start() throws Exception {
        cluster = new Cluster("input");
        cluster.startEngine("runner-1", "perth-a");
        cluster.startBookings("app-1", "perth-a");
        cluster.startNodes();
        cluster.awaitServed(ChatCalls.CHAT_PATH, ChatCalls.chat("warm", 1, false));
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws Exception {
        cluster.close();
    }

    @DataProvider
    public Object[][] rawRequests() {
        String body = HEAD + "Content-Length: %d\r\nConnection: close\r\n\r\n%s";
        return new Object[][] {
            {"no HTTP", "\u0001\u0002\u0003\r\n\r\n", 400},
            {"long header", HEAD + "X-Long: " + "x".repeat(40_000) + "\r\n\r\n", 431},
            {"long line", "GET /" + "x".repeat(40_000) + " HTTP/1.1\r\n\r\n", 431},
            {"bad length", HEAD + "Content-Length: many\r\n\r\n", 400},
            {"two lengths", HEAD + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}", 400},
            {"invalid UTF-8", String.format(body, 3, "\"\u00ff\""), 400},
            {"invalid JSON", String.format(body, 1, "{"), 400},
            {"no object", String.format(body, 2, "[]"), 400},
            {"no model", String.format(body, 2, "{}"), 400},
            {"too large", HEAD + "Content-Length: 99999999999\r\n\r\n", 413},
        };
    }

    @Test(dataProvider = "rawRequests")
    public void rejectsMalformedRequest(String description, String request, int status)
            throws Exception {
        String response = exchange(request);
        assertEquals(statusOf(response), status, description + ": " + response);
        assertServing();
    }

    @Test(groups = "processes")
    public void rejectsUnsupportedHttpVersion() throws Exception {
        String response = exchange("GET / HTTP/9.9\r\nConnection: close\r\n\r\n");
        assertEquals(statusOf(response), 505, response);
    }

    @DataProvider
    public Object[][] partialRequests() {
        return new Object[][] {
            {""}, {"POST /v1/chat"}, {HEAD}, {HEAD + "Content-Length: 100\r\n\r\n{\"model\""},
        };
    }

    @Test(dataProvider = "partialRequests")
    public void keepsServingDespitePartialRequests(String partialRequest) throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            Socket socket = connect();
            socket.getOutputStream().write(partialRequest.getBytes(ISO_8859_1));
            sockets.add(socket);
        }
        assertServing();
        for (Socket socket : sockets) {
            socket.close();
        }
        assertServing();
    }

    @DataProvider
    public Object[][] rejectedCalls() {
        return new Object[][] {
            {
                ChatCalls.CHAT_PATH,
                "{\"model\":\"nothing\",\"messages\":[]}",
                HttpCalls.CALLER_TOKEN,
                404
            },
            {"/services/nothing/x", "{}", HttpCalls.CALLER_TOKEN, 404},
            {"/nowhere", "{}", HttpCalls.CALLER_TOKEN, 404},
            {ChatCalls.CHAT_PATH, ChatCalls.chat("x", 1, false), "wrong-token", 401},
            {BOOKINGS, "{}", "wrong-token", 401},
            {BOOKINGS, "{}", HttpCalls.CALLER_TOKEN, 400},
        };
    }

    @Test(dataProvider = "rejectedCalls")
    public void rejectsAsNotRunWithReason(String path, String body, String token, int status)
            throws Exception {
        int port = cluster.node("perth-a-1").callers();
        HttpResponse<String> response = cluster.calls().callWithToken(token, port, path, body);
        assertEquals(response.statusCode(), status, response.body());
        assertEquals(
                response.headers().firstValue("content-type").orElse(""),
                "application/problem+json");
        assertEquals(HttpCalls.json(response.body()).path("execution").asText(), "not-run");
        assertTrue(HttpCalls.json(response.body()).path("detail").asText().length() > 10);
    }

    @Test
    public void rejectsInvalidAnnouncements() throws Exception {
        int port = cluster.node("perth-a-1").endpoints();
        String path = "/v1/announcements";
        assertEquals(cluster.calls().callWithToken("wrong", port, path, "{}").statusCode(), 401);
        for (String body : List.of("", "[", "[]", "{}", "{\"endpointId\":7}")) {
            HttpResponse<String> response =
                    cluster.calls().callWithToken(HttpCalls.ENDPOINT_TOKEN, port, path, body);
            assertEquals(response.statusCode(), 400, response.body());
        }
        assertServing();
    }

    @Test
    public void rejectsInvalidConfigurationChanges() throws Exception {
        int port = cluster.node("perth-a-1").operators();
        String path = "/v1/configuration/changes";
        assertEquals(cluster.calls().callWithToken("wrong", port, path, "{}").statusCode(), 401);
        for (String body : List.of("", "[", "[]", "{}", "{\"operationId\":\"x\"}")) {
            HttpResponse<String> response = cluster.calls().postAsOperator(port, path, body);
            assertEquals(response.statusCode(), 400, response.body());
        }
        assertServing();
    }

    private void assertServing() throws Exception {
        String body = ChatCalls.chat("still there", 2, false);
        HttpResponse<String> response =
                cluster.call("perth-a-1", ChatCalls.CHAT_PATH, body, UUID.randomUUID());
        assertEquals(
                ChatCalls.messageText(response.body()), ChatCalls.expectedText("still there", 2));
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request.getBytes(ISO_8859_1));
            byte[] buffer = new byte[4_096];
            int length = socket.getInputStream().read(buffer);
            return length < 0 ? "" : new String(buffer, 0, length, UTF_8);
        }
    }

    private Socket connect() throws IOException {
        int port = cluster.node("perth-a-1").callers();
        return new Socket(InetAddress.getLoopbackAddress(), port);
    }

    private static int statusOf(String response) {
        String[] parts = response.split(" ", 3);
        return parts.length < 2 ? 0 : Integer.parseInt(parts[1]);
    }
}
