package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.testing.RawClient;
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
public class LateSecondResponseTests {

    private static final long PACKET_GAP_MS = 2;

    private RunningGateway gateway;
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
        gateway = new RunningGateway();
        endpoint = new RawEndpoint(this::answer);
        EndpointReport report =
                TestEndpoints.createReport("e1", ForwarderFixture.CHAT, endpoint.address(), false);
        Map<EndpointId, KnownEndpoint> endpoints =
                Map.of(report.id(), new KnownEndpoint(report, 0));
        gateway.applyView(ForwarderFixture.view(RequestKind.REPEATABLE, 1, endpoints, Set.of()));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        endpoint.close();
        gateway.close();
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
            gateway.refillRetryBudget();
            assertEquals(RawClient.statusOf(call("r0")), "200");
            String response = call("r1");
            String detail = "cut at " + cut + ": " + response;
            assertEquals(RawClient.statusOf(response), String.valueOf(nextStatus), detail);
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
            gateway.refillRetryBudget();
            String response = call("r2");
            assertEquals(RawClient.statusOf(response), "502", "cut at " + cut + ": " + response);
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

    private String call(String id) throws IOException {
        return gateway.send(
                "GET /a/x HTTP/1.1\r\nhost: ice.example\r\nx-request-id: "
                        + id
                        + "\r\nauthorization: Bearer key\r\nconnection: close\r\n\r\n");
    }
}
