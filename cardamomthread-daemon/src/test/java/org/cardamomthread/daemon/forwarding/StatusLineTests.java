package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
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

/** Tests what clients receive when the status line of an endpoint is none in the protocol. */
public class StatusLineTests {

    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";

    private RunningGateway gateway;
    private RawEndpoint endpoint;
    private volatile String statusLine;

    @BeforeMethod
    public void start() throws Exception {
        gateway = new RunningGateway();
        endpoint = new RawEndpoint((connection, id) -> connection.write(response(id)));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        endpoint.close();
        gateway.close();
    }

    @DataProvider
    public Object[][] invalidStatusLines() {
        List<String> lines =
                List.of(
                        "HTTP/1.1 000 Unknown",
                        "HTTP/1.1 099 Unknown",
                        "HTTP/1.1 600 Unknown",
                        "HTTP/1.1 999 Unknown",
                        "HTTP/1.1 1000 Unknown",
                        "HTTP/1.1 2000 OK",
                        "HTTP/1.1 0200 OK",
                        "HTTP/1.1 00200 OK",
                        "HTTP/1.1 +200 OK",
                        "HTTP/1.1 -200 OK",
                        "HTTP/1.1 20 OK",
                        "HTTP/1.1 2OO OK",
                        "HTTP/1.1 OK",
                        "HTTP/1.1  200 OK",
                        "HTTP/1.1\t200 OK",
                        " HTTP/1.1 200 OK",
                        "\r\nHTTP/1.1 200 OK",
                        "HTTP/1.1 200OK",
                        "HTTP/2.0 200 OK",
                        "HTTP/1.2 200 OK",
                        "HTTP/0.9 200 OK",
                        "http/1.1 200 OK",
                        "ICY/1.0 200 OK",
                        "ICY 200 OK",
                        INTERIM + "HTTP/1.1 0200 OK",
                        INTERIM + "ICY/1.0 200 OK");
        List<Object[]> rows = new ArrayList<>();
        for (String line : lines) {
            rows.add(new Object[] {line, RequestKind.ONCE_PER_ATTEMPT});
            rows.add(new Object[] {line, RequestKind.STREAM});
        }
        return rows.toArray(Object[][]::new);
    }

    /** Guards against bytes that are no response in the protocol and reach a client as one. */
    @Test(dataProvider = "invalidStatusLines")
    public void neverPassesOnAResponseWithoutAValidStatusLine(String line, RequestKind kind)
            throws Exception {
        String response = send(line, kind);
        assertEquals(RawClient.statusOf(response), "502", response);
        assertFalse(response.contains("x-test-signature"), response);
    }

    @DataProvider
    public Object[][] validStatusLines() {
        return new Object[][] {
            {"HTTP/1.1 200 OK", "200"},
            {"HTTP/1.1 200 ", "200"},
            {"HTTP/1.1 200", "200"},
            {"HTTP/1.0 201 Created", "201"},
            {"HTTP/1.1 404 Not Found", "404"},
            {"HTTP/1.1 599 Custom", "599"},
            {INTERIM + "HTTP/1.1 200 OK", "200"},
            {INTERIM + INTERIM + "HTTP/1.1 418 Teapot", "418"},
            {"HTTP/1.1 100\r\n\r\nHTTP/1.1 200 OK", "200"},
        };
    }

    @Test(dataProvider = "validStatusLines")
    public void passesOnAResponseWithAValidStatusLine(String line, String expectedStatus)
            throws Exception {
        String response = send(line, RequestKind.ONCE_PER_ATTEMPT);
        assertEquals(RawClient.statusOf(response), expectedStatus, response);
        assertEquals(response.endsWith("\r\n\r\nbody"), true, response);
    }

    private String send(String line, RequestKind kind) throws Exception {
        statusLine = line;
        EndpointReport report =
                TestEndpoints.createReport("e1", ForwarderFixture.CHAT, endpoint.address(), false);
        Map<EndpointId, KnownEndpoint> endpoints =
                Map.of(report.id(), new KnownEndpoint(report, 0));
        gateway.applyView(ForwarderFixture.view(kind, 1, endpoints, Set.of()));
        return gateway.send(
                "GET /a/x HTTP/1.1\r\nhost: ice.example\r\nx-request-id: r1\r\n"
                        + "authorization: Bearer key\r\nconnection: close\r\n\r\n");
    }

    private String response(String id) {
        return statusLine
                + "\r\nx-test-signature: s\r\nx-request-id: "
                + id
                + "\r\ncontent-type: application/json\r\ncontent-length: 4\r\n\r\nbody";
    }
}
