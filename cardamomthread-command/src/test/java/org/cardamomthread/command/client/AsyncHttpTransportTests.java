package org.cardamomthread.command.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link AsyncHttpTransport} against a server socket on loopback. */
public class AsyncHttpTransportTests {

    private static final String RESPONSE_BODY = "{\"revision\": 3}";

    private final AsyncHttpTransport transport = new AsyncHttpTransport("operator-token");

    @AfterClass
    public void closeTransport() {
        transport.close();
    }

    @Test
    public void sendsTokenAndBodyAndParsesResponse() throws Exception {
        try (ServerSocket server = listen()) {
            CompletableFuture<String> received = serveOnce(server, true);
            OperatorResponse response =
                    transport.send(address(server), "POST", "/v1/x", "{\"a\": 1}");
            assertEquals(response.status(), 200);
            assertEquals(response.body().path("revision").asInt(), 3);
            String request = received.join();
            assertTrue(request.startsWith("POST /v1/x HTTP/1.1"), request);
            assertTrue(request.contains("Bearer operator-token"), request);
            assertTrue(request.endsWith("{\"a\": 1}"), request);
        }
    }

    @Test
    public void reportsLostResponseWithoutRetrying() throws Exception {
        try (ServerSocket server = listen()) {
            CompletableFuture<String> received = serveOnce(server, false);
            TransportException failure =
                    expectThrows(
                            TransportException.class,
                            () -> transport.send(address(server), "POST", "/v1/x", "{\"a\": 1}"));
            assertTrue(failure.mayHaveArrived());
            assertTrue(received.join().startsWith("POST /v1/x"));
            server.setSoTimeout(300);
            expectThrows(SocketTimeoutException.class, server::accept);
        }
    }

    @Test
    public void neverTakesALateSecondResponseForTheOneToTheNextRequest() throws Exception {
        try (ServerSocket server = listen()) {
            CompletableFuture<Void> served = serveTwiceOnKeptConnection(server);
            String body = "{\"a\": 1}";
            assertEquals(transport.send(address(server), "POST", "/v1/x", body).status(), 200);
            assertEquals(transport.send(address(server), "POST", "/v1/x", body).status(), 409);
            served.join();
        }
    }

    @DataProvider
    public Object[][] invalidStatuses() {
        return new Object[][] {{"000 Unknown"}, {"103 Early Hints"}, {"999 Unknown"}};
    }

    /** Guards against an order that counts as accepted though its response is none. */
    @Test(dataProvider = "invalidStatuses")
    public void reportsAnInvalidStatusAsUnknownOutcome(String status) throws Exception {
        try (ServerSocket server = listen()) {
            CompletableFuture<Void> served =
                    CompletableFuture.runAsync(() -> serve(server, status));
            TransportException failure =
                    expectThrows(
                            TransportException.class,
                            () -> transport.send(address(server), "POST", "/v1/x", "{\"a\": 1}"));
            assertTrue(failure.mayHaveArrived());
            served.join();
        }
    }

    @Test
    public void reportsRefusedConnectionAsNotSent() throws IOException {
        NetworkAddress unusedAddress;
        try (ServerSocket server = listen()) {
            unusedAddress = address(server);
        }
        TransportException failure =
                expectThrows(
                        TransportException.class,
                        () -> transport.send(unusedAddress, "GET", "/v1/x", ""));
        assertFalse(failure.mayHaveArrived());
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    }

    private static NetworkAddress address(ServerSocket server) {
        return new NetworkAddress("127.0.0.1", server.getLocalPort());
    }

    /**
     * Accepts the first request and rejects the second one; if that comes on the same connection,
     * the first response is written again before.
     */
    private static CompletableFuture<Void> serveTwiceOnKeptConnection(ServerSocket server) {
        return CompletableFuture.runAsync(
                () -> {
                    try (Socket first = server.accept()) {
                        readUntilBody(first.getInputStream());
                        write(first, "200 OK");
                        if (!readUntilBody(first.getInputStream()).isEmpty()) {
                            write(first, "200 OK");
                            write(first, "409 Conflict");
                            return;
                        }
                        try (Socket second = server.accept()) {
                            readUntilBody(second.getInputStream());
                            write(second, "409 Conflict");
                        }
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }

    private static void serve(ServerSocket server, String status) {
        try (Socket socket = server.accept()) {
            readUntilBody(socket.getInputStream());
            write(socket, status);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void write(Socket socket, String status) throws IOException {
        String head = "HTTP/1.1 " + status + "\r\nContent-Length: " + RESPONSE_BODY.length();
        byte[] bytes = (head + "\r\n\r\n" + RESPONSE_BODY).getBytes(StandardCharsets.UTF_8);
        socket.getOutputStream().write(bytes);
    }

    private static CompletableFuture<String> serveOnce(ServerSocket server, boolean responds) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try (Socket socket = server.accept()) {
                        String request = readUntilBody(socket.getInputStream());
                        if (responds) {
                            write(socket, "200 OK");
                        }
                        return request;
                    } catch (IOException e) {
                        throw new UncheckedIOException(e);
                    }
                });
    }

    private static String readUntilBody(InputStream stream) throws IOException {
        StringBuilder request = new StringBuilder();
        while (request.indexOf("}") < 0) {
            int next = stream.read();
            if (next < 0) {
                break;
            }
            request.append((char) next);
        }
        return request.toString();
    }
}
