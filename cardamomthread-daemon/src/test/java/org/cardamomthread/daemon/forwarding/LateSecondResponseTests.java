package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.time.SystemTimeSource;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.dispatch.AsyncEndpointClient;
import org.cardamomthread.daemon.http.HttpLimits;
import org.cardamomthread.daemon.http.HttpServer;
import org.cardamomthread.daemon.testing.RawEndpoint;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.view.KnownEndpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests what clients receive when an endpoint answers a request twice, and the second response, or
 * a part of it, is late.
 */
@SuppressWarnings("deprecation")
public class LateSecondResponseTests {

    private static final HttpLimits LIMITS = new HttpLimits(4_096, 4_096, 5_000, 60_000, 2_000);
    private static final long RETRY_WINDOW_MS = 10_000;
    private static final int SOCKET_TIMEOUT_MS = 10_000;
    private static final long PACKET_GAP_MS = 2;

    private EventLoopGroup eventLoops;
    private AsyncEndpointClient client;
    private HttpServer gateway;
    private ForwarderFixture fixture;
    private RawEndpoint endpoint;
    private volatile Moment moment;
    private volatile int secondStatus;
    private volatile int cut;

    /** When the part of the second response is written. */
    private enum Moment {
        WITH_THE_FIRST_RESPONSE,
        WITH_THE_NEXT_RESPONSE,
        BEFORE_THE_NEXT_RESPONSE,
        AROUND_THE_NEXT_RESPONSE
    }

    @BeforeMethod
    public void start() throws Exception {
        eventLoops = new NioEventLoopGroup(1);
        client = new AsyncEndpointClient(eventLoops, new SystemTimeSource());
        fixture = new ForwarderFixture((EventLoop) eventLoops.next(), client);
        gateway = new HttpServer("callers", eventLoops, LIMITS, fixture.forwarder().getHandler());
        gateway.listen(new InetSocketAddress("127.0.0.1", 0));
        endpoint = new RawEndpoint(this::answer);
        EndpointReport report =
                TestEndpoints.createReport("e1", ForwarderFixture.CHAT, endpoint.address(), false);
        Map<EndpointId, KnownEndpoint> endpoints =
                Map.of(report.id(), new KnownEndpoint(report, 0));
        runOnLoop(
                () ->
                        fixture.forwarder()
                                .applyView(
                                        ForwarderFixture.view(
                                                RequestKind.REPEATABLE, 1, endpoints, Set.of())));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        endpoint.close();
        gateway.close();
        client.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @DataProvider
    public Object[][] secondResponses() {
        Object[][] rows = new Object[Moment.values().length * 2][];
        int row = 0;
        for (Moment each : Moment.values()) {
            rows[row++] = new Object[] {each, 500};
            rows[row++] = new Object[] {each, 200};
        }
        return rows;
    }

    // Guards against a success that reached the client of a request that its endpoint had failed.
    @Test(dataProvider = "secondResponses")
    public void neverJoinsPartOfALateSecondResponseWithTheNextResponse(
            Moment writtenAt, int nextStatus) throws Exception {
        moment = writtenAt;
        secondStatus = nextStatus;
        for (cut = 0; cut <= lateCopy("r0").length(); cut++) {
            runOnLoop(this::refillRetryBudget);
            assertEquals(statusOf(call("r0")), "200");
            String response = call("r1");
            String detail = "cut at " + cut + ": " + response;
            assertEquals(statusOf(response), String.valueOf(nextStatus), detail);
            assertEquals(response.split("x-test-signature").length, 2, detail);
            assertEquals(response.endsWith("\r\n\r\nbody-r1"), nextStatus == 200, detail);
        }
    }

    @DataProvider
    public Object[][] firstStatuses() {
        return new Object[][] {{500}, {200}};
    }

    // Guards against a success that is made of a failure that broke off and a second response.
    @Test(dataProvider = "firstStatuses")
    public void neverJoinsAHeadThatBrokeOffWithASecondResponse(int firstStatus) throws Exception {
        secondStatus = firstStatus;
        int headLength = response(firstStatus, "r2").indexOf("\r\n\r\n");
        for (cut = 1; cut <= headLength; cut++) {
            runOnLoop(this::refillRetryBudget);
            String response = call("r2");
            assertEquals(statusOf(response), "502", "cut at " + cut + ": " + response);
        }
    }

    /** Owes a part of a second response to the first request until the next request arrives. */
    private void answer(RawEndpoint.Connection connection, String id) throws Exception {
        if (id.equals("r0")) {
            boolean isWrittenNow = moment == Moment.WITH_THE_FIRST_RESPONSE;
            connection.write(
                    response(200, id) + (isWrittenNow ? lateCopy(id).substring(0, cut) : ""));
            connection.owe(isWrittenNow ? "" : lateCopy(id));
            return;
        }
        if (id.equals("r2")) {
            connection.write(response(secondStatus, id).substring(0, cut));
            Thread.sleep(PACKET_GAP_MS);
            connection.write(lateCopy(id));
            return;
        }
        String owed = connection.takeOwed();
        String part = owed.substring(0, Math.min(cut, owed.length()));
        if (moment == Moment.WITH_THE_NEXT_RESPONSE) {
            connection.write(part + response(secondStatus, id));
            return;
        }
        if (!part.isEmpty()) {
            connection.write(part);
            Thread.sleep(PACKET_GAP_MS);
        }
        boolean isRestWritten = moment == Moment.AROUND_THE_NEXT_RESPONSE;
        connection.write(
                response(secondStatus, id) + (isRestWritten ? owed.substring(part.length()) : ""));
    }

    private static String response(int status, String id) {
        String body = status == 200 ? "body-" + id : "";
        return "HTTP/1.1 "
                + (status == 200 ? "200 OK" : "500 Internal Server Error")
                + "\r\nx-test-signature: run-of-"
                + id
                + "\r\nx-load: 1,0,6\r\nx-request-id: "
                + id
                + "\r\nkeep-alive: timeout=10\r\ncontent-length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String lateCopy(String id) {
        return "HTTP/1.1 200 OK\r\nx-test-signature: run-of-"
                + id
                + "\r\nx-request-id: "
                + id
                + "\r\ncontent-length: 2\r\n\r\nok";
    }

    private void refillRetryBudget() {
        fixture.time().advanceMs(RETRY_WINDOW_MS);
        fixture.renewLease();
    }

    private void runOnLoop(Runnable task) throws Exception {
        eventLoops.next().submit(task).get();
    }

    private String call(String id) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", gateway.getAddress().getPort())) {
            socket.setSoTimeout(SOCKET_TIMEOUT_MS);
            String request =
                    "GET /a/x HTTP/1.1\r\nhost: ice.example\r\nx-request-id: "
                            + id
                            + "\r\nauthorization: Bearer key\r\nconnection: close\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static String statusOf(String response) {
        return response.length() < 12 ? "none" : response.substring(9, 12);
    }
}
