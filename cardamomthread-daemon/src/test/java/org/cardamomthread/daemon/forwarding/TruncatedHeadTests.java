package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.testing.RawClient;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.view.KnownEndpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests what clients receive when an endpoint ends its connection inside the head of its response,
 * for each position in the head.
 */
public class TruncatedHeadTests {

    private static final String REQUEST =
            "POST /a/x HTTP/1.1\r\nhost: ice.example\r\nx-request-id: r1\r\n"
                    + "authorization: Bearer key\r\nconnection: close\r\n"
                    + "content-length: 4\r\n\r\nbody";
    private static final String REQUEST_BODY = "\r\n\r\nbody";
    private static final String OK_HEAD =
            "HTTP/1.1 200 OK\r\nx-test-signature: s\r\nx-request-id: r1\r\n";
    private static final String WITH_LENGTH = OK_HEAD + "content-length: 4\r\n\r\n";
    private static final String CHUNKED = OK_HEAD + "transfer-encoding: chunked\r\n\r\n";
    private static final String UNFRAMED = OK_HEAD + "connection: close\r\n\r\n";
    private static final String NOT_RUN =
            "HTTP/1.1 503 Busy\r\nx-test-not-run: 1\r\nx-request-id: r1\r\n"
                    + "content-length: 0\r\n\r\n";

    private RunningGateway gateway;
    private ServerSocket endpoint;
    private ExecutorService endpointThreads;
    private final AtomicInteger requestsAtEndpoint = new AtomicInteger();
    private volatile String precedingResponse;
    private volatile String truncatedResponse;
    private volatile boolean isReset;

    @BeforeMethod
    public void start() throws Exception {
        gateway = new RunningGateway();
        endpoint = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        endpointThreads = Executors.newCachedThreadPool();
        endpointThreads.submit(this::acceptConnections);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        endpoint.close();
        endpointThreads.shutdownNow();
        gateway.close();
    }

    @DataProvider
    public Object[][] responses() {
        String preceding = WITH_LENGTH + "body";
        return new Object[][] {
            {"with length", RequestKind.ONCE_PER_ATTEMPT, WITH_LENGTH, null, false},
            {"with length, reset", RequestKind.ONCE_PER_ATTEMPT, WITH_LENGTH, null, true},
            {"chunked", RequestKind.ONCE_PER_ATTEMPT, CHUNKED, null, false},
            {"unframed", RequestKind.ONCE_PER_ATTEMPT, UNFRAMED, null, false},
            {"unframed, reset", RequestKind.ONCE_PER_ATTEMPT, UNFRAMED, null, true},
            {"stream", RequestKind.STREAM, CHUNKED, null, false},
            {"unframed stream", RequestKind.STREAM, UNFRAMED, null, false},
            {"resumable stream", RequestKind.RESUMABLE_STREAM, UNFRAMED, null, false},
            {"after another request", RequestKind.REPEATABLE, WITH_LENGTH, preceding, false},
            {"after another, unframed", RequestKind.REPEATABLE, UNFRAMED, preceding, false},
            {"second attempt", RequestKind.ONCE_PER_ATTEMPT, WITH_LENGTH, NOT_RUN, false},
            {"second attempt, stream", RequestKind.STREAM, UNFRAMED, NOT_RUN, false},
        };
    }

    @Test(dataProvider = "responses")
    public void neverPassesOnAResponseWhoseHeadIsIncomplete(
            String name, RequestKind kind, String head, String preceding, boolean resets)
            throws Exception {
        isReset = resets;
        precedingResponse = preceding;
        boolean isSecondAttempt = NOT_RUN.equals(preceding);
        applyView(kind, isSecondAttempt ? 2 : 1);
        for (int position = 0; position < head.length(); position++) {
            truncatedResponse = head.substring(0, position);
            requestsAtEndpoint.set(0);
            gateway.refillRetryBudget();
            if (preceding != null && !isSecondAttempt) {
                assertEquals(RawClient.statusOf(gateway.send(REQUEST)), "200", name);
            }
            String response = gateway.send(REQUEST);
            assertEquals(
                    RawClient.statusOf(response),
                    "502",
                    name + " at " + position + ": " + response);
            assertFalse(response.contains("x-test-signature"), response);
        }
    }

    private void applyView(RequestKind kind, int maxAttempts) throws Exception {
        String address = "127.0.0.1:" + endpoint.getLocalPort();
        EndpointReport first =
                TestEndpoints.createReport("e1", ForwarderFixture.CHAT, address, false);
        EndpointReport second =
                TestEndpoints.createReport("e2", ForwarderFixture.CHAT, address, false);
        Map<EndpointId, KnownEndpoint> endpoints =
                Map.of(
                        first.id(), new KnownEndpoint(first, 0),
                        second.id(), new KnownEndpoint(second, 0));
        gateway.applyView(ForwarderFixture.view(kind, maxAttempts, endpoints, Set.of()));
    }

    private void acceptConnections() {
        while (!endpoint.isClosed()) {
            try {
                Socket connection = endpoint.accept();
                endpointThreads.submit(() -> serve(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** Answers the first request completely if a response precedes the truncated one. */
    private void serve(Socket connection) {
        try (connection) {
            while (readRequest(connection.getInputStream())) {
                boolean isFirst = requestsAtEndpoint.getAndIncrement() == 0;
                boolean isTruncated = precedingResponse == null || !isFirst;
                String response = isTruncated ? truncatedResponse : precedingResponse;
                connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                if (isTruncated) {
                    connection.setSoLinger(isReset, 0);
                    return;
                }
            }
        } catch (IOException ended) {
            // The gateway has closed the connection.
        }
    }

    private static boolean readRequest(InputStream input) throws IOException {
        StringBuilder received = new StringBuilder();
        while (received.indexOf(REQUEST_BODY) < 0) {
            int next = input.read();
            if (next < 0) {
                return false;
            }
            received.append((char) next);
        }
        return true;
    }
}
