package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficAccount;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.configuration.traffic.TrafficRoute;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.WeightedService;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.testing.RawClient;
import org.cardamomthread.daemon.testing.RawEndpoint;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.KnownEndpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that an endpoint receives the request target by which the route was chosen, byte for byte,
 * and that targets for which this is impossible are refused before anything is sent.
 */
public class ForwardedTargetTests {

    private static final String PREFIXED_HOST = "ice.example";
    private static final String ROOT_HOST = "root.example";
    private static final long ROUTE_TIMEOUT_MS = 5_000;

    private final List<String> received = new CopyOnWriteArrayList<>();
    private RunningGateway gateway;
    private RawEndpoint endpoint;

    @BeforeMethod
    public void start() throws Exception {
        received.clear();
        gateway = new RunningGateway();
        endpoint = new RawEndpoint(this::answer);
        EndpointReport report =
                TestEndpoints.createReport("e1", ForwarderFixture.CHAT, endpoint.address(), false);
        gateway.applyView(createView(new KnownEndpoint(report, 0)));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        endpoint.close();
        gateway.close();
    }

    @DataProvider
    public Object[][] forwardedTargets() {
        return new Object[][] {
            {"/open/x"},
            {"/open/"},
            {"/open/../keyed/x"},
            {"/open/../hold-take"},
            {"/open/./x"},
            {"/open/a/.."},
            {"/open/a/."},
            {"/open/.."},
            {"/open/../../../x"},
            {"/open/...//.."},
            {"/open/.x/..y"},
            {"/open/%2e%2e/keyed/x"},
            {"/open/%2E./keyed/x"},
            {"/open/..%2fkeyed/x"},
            {"/open/..;/keyed/x"},
            {"/open/;a=b/x;c"},
            {"/open/..\\keyed\\x"},
            {"/open/..\\..\\x"},
            {"/open//x//"},
            {"/open//../keyed/x"},
            {"/open/x?"},
            {"/open/?"},
            {"/open/x??"},
            {"/open/x?a=/../b"},
            {"/open/x?../../keyed/x"},
            {"/open/x?a=1&b=%20+c"},
            {"/open/x?http://other.example"},
            {"/open/http://other.example/x"},
            {"/open/x#fragment"},
            {"/open/x?a=b#fragment?c"},
            {"/open/#/../../keyed/x"},
            {"/open/user:secret@other.example:80/x"},
            {"/open/%"},
            {"/open/%zz"},
            {"/open/%00%ff"},
            {"/open/%c3%a9"},
            {"/open/%0d%0ax-injected:%20y"},
            {"/open/!\"$&'()*+,-.:;<=>@[]^_`{|}~"},
            {"/open/x?!\"$&'()*+,-./:;<=>@[\\]^_`{|}~"},
            {"/open/" + "../x".repeat(900)},
        };
    }

    // Guards against a request that ran as a request for a route that its sender may not use.
    @Test(dataProvider = "forwardedTargets")
    public void forwardsTheTargetByteForByte(String target) throws IOException {
        String response = call("GET " + target + " HTTP/1.1", PREFIXED_HOST);
        assertEquals(RawClient.statusOf(response), "200", response);
        assertEquals(received, List.of("GET " + target + " HTTP/1.1"));
    }

    @DataProvider
    public Object[][] targetsOfARouteWithTheShortestPrefix() {
        return new Object[][] {
            {"/"},
            {"/?"},
            {"/.."},
            {"//other.example/x"},
            {"//other.example:1/x?"},
            {"///"},
            {"//../x"},
            {"/@other.example/"},
            {"/:1/x"},
        };
    }

    @Test(dataProvider = "targetsOfARouteWithTheShortestPrefix")
    public void neverTakesAPartOfThePathForAnAuthority(String target) throws IOException {
        String response = call("GET " + target + " HTTP/1.1", ROOT_HOST);
        assertEquals(RawClient.statusOf(response), "200", response);
        assertEquals(received, List.of("GET " + target + " HTTP/1.1"));
    }

    @DataProvider
    public Object[][] methods() {
        return new Object[][] {{"POST"}, {"DELETE"}, {"OPTIONS"}, {"PATCH"}, {"PURGE"}, {"get"}};
    }

    @Test(dataProvider = "methods")
    public void forwardsTheMethodUnchanged(String method) throws IOException {
        String line = method + " /open/../kv-pin/5c1e07a2? HTTP/1.1";
        String response = call(line, PREFIXED_HOST);
        assertEquals(RawClient.statusOf(response), "200", response);
        assertEquals(received, List.of(line));
    }

    @DataProvider
    public Object[][] refusedTargets() {
        String slash = "send the path in the request line and the host in the Host header";
        String encode = "percent-encode";
        String correct = "correct the request";
        return new Object[][] {
            {"GET http://ice.example/open/x", slash},
            {"GET HTTP://ice.example/open/../keyed/x", slash},
            {"GET http://ice.example", slash},
            {"GET http://ice.example?x", slash},
            {"GET https://ice.example/open/x", slash},
            {"GET open/x", slash},
            {"GET ../open/x", slash},
            {"GET ?x", slash},
            {"GET #/open/x", slash},
            {"GET \\open\\x", slash},
            {"OPTIONS *", slash},
            {"GET *", slash},
            {"CONNECT ice.example:80", "use another method"},
            {"CONNECT /open/x", "use another method"},
            {"GET /open/caf\u00e9", encode},
            {"GET /open/caf\u00c3\u00a9", encode},
            {"GET /open/x?q=\u00e9", encode},
            {"GET /open/\u0080", encode},
            {"GET /open/\u00ff", encode},
            {"GET /open/\u00c0\u00ae\u00c0\u00ae/keyed/x", encode},
            {"GET /open/\u0000x", encode},
            {"GET /open/x\u007f", encode},
            {"GET /open/x\ty", correct},
            {"GET /open/x\u000by", correct},
            {"GET /open/x\ry", correct},
            {"GET /open/x\rx-injected: y", correct},
            {"GET /open/x\nx-injected: y", correct},
            {"GET /open/x /keyed/x", correct},
            {"GET /open/x HTTP/1.1 /keyed/x", correct},
        };
    }

    @Test(dataProvider = "refusedTargets")
    public void refusesATargetThatItCannotForwardUnchanged(String start, String remedy)
            throws IOException {
        for (String host : List.of(PREFIXED_HOST, ROOT_HOST)) {
            String response = call(start + " HTTP/1.1", host);
            assertEquals(RawClient.statusOf(response), "400", response);
            assertTrue(response.contains(remedy), response);
            assertTrue(response.contains("\"execution\":\"not-run\""), response);
            assertEquals(received, List.of());
        }
    }

    @Test
    public void refusesATargetThatIsTooLong() throws IOException {
        String target = "/open/" + "../".repeat(RunningGateway.MAX_HEADER_BYTES / 3);
        String response = call("GET " + target + " HTTP/1.1", PREFIXED_HOST);
        assertEquals(RawClient.statusOf(response), "431", response);
        assertEquals(received, List.of());
    }

    @DataProvider
    public Object[][] targetsWithoutAPublicRoute() {
        return new Object[][] {
            {"/keyed/x", "401"},
            {"/keyed/../open/x", "401"},
            {"/keyed/./x", "401"},
            {"/x/../open/x", "404"},
            {"/./open/x", "404"},
            {"/%6fpen/x", "404"},
            {"//open/x", "404"},
            {"/open", "404"},
            {"/open/../keyed/x#", "200"},
        };
    }

    @Test(dataProvider = "targetsWithoutAPublicRoute")
    public void choosesTheRouteByTheTargetAsSent(String target, String status) throws IOException {
        String response = call("GET " + target + " HTTP/1.1", PREFIXED_HOST);
        assertEquals(RawClient.statusOf(response), status, response);
        assertEquals(received.size(), status.equals("200") ? 1 : 0);
    }

    private void answer(RawEndpoint.Connection connection, String id) throws IOException {
        received.add(connection.requestLine());
        connection.write(
                "HTTP/1.1 200 OK\r\nx-test-signature: s\r\nx-request-id: "
                        + id
                        + "\r\ncontent-length: 2\r\n\r\nok");
    }

    private String call(String requestLine, String host) throws IOException {
        return gateway.send(
                requestLine
                        + "\r\nhost: "
                        + host
                        + "\r\nx-request-id: r1\r\nconnection: close\r\n\r\n");
    }

    private static GatewayView createView(KnownEndpoint endpoint) {
        TrafficDocument document =
                new TrafficDocument(
                        1,
                        List.of(
                                createRoute(PREFIXED_HOST, "/open/", true),
                                createRoute(PREFIXED_HOST, "/keyed/", false),
                                createRoute(ROOT_HOST, "/", true)),
                        List.of(
                                new TrafficService(
                                        ForwarderFixture.CHAT,
                                        "/h",
                                        10,
                                        0,
                                        false,
                                        Optional.empty())),
                        List.of(
                                new TrafficAccount(
                                        new ClientAccountId("bars"),
                                        List.of("key"),
                                        OptionalInt.empty(),
                                        false,
                                        0,
                                        0,
                                        0)));
        return new GatewayView(
                1,
                Optional.of(new RouteTable(document)),
                Set.of(),
                Map.of(),
                Map.of(endpoint.report().id(), endpoint),
                1,
                Map.of(),
                Map.of());
    }

    private static TrafficRoute createRoute(String host, String pathPrefix, boolean isPublic) {
        return new TrafficRoute(
                new RouteId("r" + pathPrefix.replace('/', '-') + host),
                host,
                pathPrefix,
                RequestKind.ONCE_PER_ATTEMPT,
                ROUTE_TIMEOUT_MS,
                100,
                100,
                1,
                List.of(new WeightedService(ForwarderFixture.CHAT, 1)),
                1,
                isPublic);
    }
}
