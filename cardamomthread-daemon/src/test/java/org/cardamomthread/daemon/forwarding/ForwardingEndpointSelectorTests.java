package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.configuration.traffic.TrafficRoute;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.WeightedService;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.dialect.LoadReport;
import org.cardamomthread.daemon.dialect.PromptPart;
import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.telemetry.NodeForwardingMetrics;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.KnownEndpoint;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.policy.placement.DataCentreMargin;
import org.cardamomthread.policy.placement.SentRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the prompt affinity and the placement of {@link ForwardingEndpointSelector}. */
public class ForwardingEndpointSelectorTests {

    private static final ServiceId CHAT = new ServiceId("chat");
    private static final int ENDPOINTS = 6;
    private static final DataCentreId DATA_CENTRE = new DataCentreId("perth-a");
    private static final DataCentreId OTHER_DATA_CENTRE = new DataCentreId("perth-b");
    private static final int SLOTS = 8;
    private static final long DECODE_MS = 500;

    private NodeMetrics metrics;
    private ManualTimeSource time;
    private EndpointTable endpoints;
    private ForwardingEndpointSelector selector;

    @BeforeMethod
    public void setUp() {
        metrics = new NodeMetrics();
        time = new ManualTimeSource();
        time.advanceMs(10_000);
        endpoints = createTable();
        endpoints.apply(view(false));
        selector = createSelector(endpoints, 1);
    }

    @DataProvider
    public Object[][] sharedParts() {
        return new Object[][] {{"a"}, {"b"}, {"c"}, {"d"}, {"e"}};
    }

    /**
     * Gateways select independently and should still send requests with a shared prompt part to the
     * same endpoint, so that it is prefilled only once.
     */
    @Test(dataProvider = "sharedParts")
    public void gatewaysSelectSameEndpointForSharedPart(String sharedPart) {
        Set<EndpointId> selected = new HashSet<>();
        for (int gateway = 0; gateway < 10; gateway++) {
            EndpointTable ownEndpoints = createTable();
            ownEndpoints.apply(view(false));
            selected.add(
                    select(createSelector(ownEndpoints, gateway), sharedPart).orElseThrow().id());
        }
        assertEquals(selected.size(), 1);
    }

    @Test
    public void distributesUnrelatedPrompts() {
        Map<EndpointId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            TrackedEndpoint selected = select(selector, "part" + i).orElseThrow();
            selected.recordStart();
            counts.merge(selected.id(), 1, Integer::sum);
        }
        assertEquals(counts.size(), ENDPOINTS);
        assertTrue(counts.values().stream().allMatch(count -> count <= 20), counts.toString());
    }

    @Test
    public void neverSelectsDrainingEndpoint() {
        endpoints.apply(view(true));
        assertTrue(select(selector, "shared").isEmpty());
    }

    /** Guards against prompts leaving an endpoint that has them cached while it has capacity. */
    @Test(dataProvider = "sharedParts")
    public void keepsSharedPartOnEndpointOfLateLoad(String sharedPart) {
        TrackedEndpoint first = select(selector, sharedPart).orElseThrow();
        serve(first, sharedPart, 20, report(2));
        for (int i = 0; i < 10; i++) {
            assertEquals(select(selector, sharedPart).orElseThrow().id(), first.id());
        }
    }

    /** Guards against affinity to an endpoint whose queue costs more than its cache saves. */
    @Test(dataProvider = "sharedParts")
    public void leavesEndpointWithSharedPartWhenAnotherIsFaster(String sharedPart) {
        TrackedEndpoint first = select(selector, sharedPart).orElseThrow();
        serve(first, sharedPart, 20, report(3 * SLOTS));
        for (int i = 0; i < 10; i++) {
            assertNotEquals(select(selector, sharedPart).orElseThrow().id(), first.id());
        }
    }

    /** Guards against a count of requests as the only measure of an endpoint. */
    @Test
    public void avoidsSlowEndpointOfEqualLoad() {
        for (TrackedEndpoint endpoint : endpoints.findByService(CHAT)) {
            boolean isSlow = endpoint.id().value().equals("e1");
            for (int i = 0; i < 5; i++) {
                serve(endpoint, "warm" + i, isSlow ? 200 : 20, report(1));
            }
        }
        time.advanceMs(500);
        for (int i = 0; i < 60; i++) {
            assertNotEquals(select(selector, "part" + i).orElseThrow().id().value(), "e1");
        }
    }

    @DataProvider
    public Object[][] dataCentreLoads() {
        return new Object[][] {
            {"calm", 1, 1, true},
            {"small difference", 4, 0, true},
            {"own data centre overloaded", 3 * SLOTS, 1, false},
            {"all full", 3 * SLOTS, SLOTS, true},
        };
    }

    /** Guards against spill-over without need, and against none under pressure. */
    @Test(dataProvider = "dataCentreLoads")
    public void choosesDataCentreByExpectedTimes(
            String name, int ownLoad, int otherLoad, boolean expectsOwn) {
        Map<EndpointId, KnownEndpoint> known = new HashMap<>();
        for (int i = 1; i <= ENDPOINTS; i++) {
            DataCentreId dataCentre = i % 2 == 0 ? DATA_CENTRE : OTHER_DATA_CENTRE;
            known.put(new EndpointId("e" + i), createEndpoint("e" + i, dataCentre));
        }
        endpoints.apply(view(known));
        for (TrackedEndpoint endpoint : endpoints.findByService(CHAT)) {
            serve(endpoint, "warm", 20, report(1));
        }
        for (TrackedEndpoint endpoint : endpoints.findByService(CHAT)) {
            int load = isOwn(endpoint) ? ownLoad : otherLoad;
            endpoint.updateLoad(report(load), time.monotonicMs());
        }
        for (int i = 0; i < 30; i++) {
            AdmittedRequest request = request(List.of(new PromptPart("own" + i, 826)));
            TrackedEndpoint selected =
                    selector.select(request, Optional.empty(), Set.of()).orElseThrow();
            assertEquals(isOwn(selected), expectsOwn, name + " " + selected.id());
        }
    }

    @DataProvider
    public Object[][] implausibleReports() {
        int max = Integer.MAX_VALUE;
        return new Object[][] {
            {new LoadReport(max, max, SLOTS, 100)},
            {new LoadReport(0, max, SLOTS, 100)},
            {new LoadReport(0, 0, SLOTS, max)},
        };
    }

    /** Guards against one implausible report or prompt that spoils the estimates of a service. */
    @Test(dataProvider = "implausibleReports")
    public void withstandsImplausibleFigures(LoadReport implausible) {
        for (TrackedEndpoint endpoint : endpoints.findByService(CHAT)) {
            serve(endpoint, "warm", 20, report(1));
        }
        TrackedEndpoint odd = endpoints.findByService(CHAT).get(0);
        int max = Integer.MAX_VALUE;
        odd.updateLoad(implausible, time.monotonicMs());
        List<PromptPart> huge = List.of(new PromptPart("x", max), new PromptPart("y", max));
        for (int i = 0; i < 30; i++) {
            TrackedEndpoint selected =
                    selector.select(request(huge), Optional.of("x"), Set.of()).orElseThrow();
            assertNotEquals(selected.id(), odd.id());
            SentRequest sent = selector.recordSend(request(huge), selected);
            sent.recordFirstToken(time.monotonicMs());
            selected.recordEnd();
            sent.recordEnd(true, true, time.monotonicMs());
            assertNotEquals(select(selector, "part" + i).orElseThrow().id(), odd.id());
        }
    }

    /** Guards against spill-over that operators cannot see. */
    @Test
    public void countsSendsByDataCentre() {
        Map<EndpointId, KnownEndpoint> known = new HashMap<>();
        known.put(new EndpointId("e1"), createEndpoint("e1", DATA_CENTRE));
        known.put(new EndpointId("e2"), createEndpoint("e2", OTHER_DATA_CENTRE));
        endpoints.apply(view(known));
        for (TrackedEndpoint endpoint : endpoints.findByService(CHAT)) {
            int sends = isOwn(endpoint) ? 3 : 2;
            for (int i = 0; i < sends; i++) {
                serve(endpoint, "warm", 20, report(1));
            }
        }
        String rendered = new String(metrics.render(), StandardCharsets.UTF_8);
        String name = "cardamomthread_sends_total{place=\"%s\",service=\"chat\"} %s";
        assertTrue(rendered.contains(name.formatted("own", "3.0")), rendered);
        assertTrue(rendered.contains(name.formatted("other", "2.0")), rendered);
    }

    private static boolean isOwn(TrackedEndpoint endpoint) {
        return endpoint.knownEndpoint().report().dataCentre().equals(DATA_CENTRE);
    }

    private static LoadReport report(int requests) {
        return new LoadReport(Math.min(SLOTS, requests), Math.max(0, requests - SLOTS), SLOTS, 100);
    }

    private void serve(
            TrackedEndpoint endpoint, String sharedPart, long firstTokenMs, LoadReport report) {
        List<PromptPart> parts =
                List.of(new PromptPart(sharedPart, 800), new PromptPart("own", 26));
        SentRequest sent = selector.recordSend(request(parts), endpoint);
        time.advanceMs(firstTokenMs);
        sent.recordFirstToken(time.monotonicMs());
        time.advanceMs(DECODE_MS);
        endpoint.updateLoad(report, time.monotonicMs());
        endpoint.recordEnd();
        sent.recordEnd(true, true, time.monotonicMs());
    }

    private static KnownEndpoint createEndpoint(String id, DataCentreId dataCentre) {
        EndpointReport report =
                new EndpointReport(
                        new EndpointId(id),
                        1,
                        1,
                        CHAT,
                        NetworkAddress.parse("10.0.0.1:80"),
                        dataCentre,
                        new VersionId("v1"),
                        SLOTS,
                        false,
                        0,
                        false);
        return new KnownEndpoint(report, 0);
    }

    private static Optional<TrackedEndpoint> select(
            ForwardingEndpointSelector selector, String sharedPart) {
        return selector.select(
                request(List.of(new PromptPart(sharedPart, 800), new PromptPart("own", 26))),
                Optional.of(sharedPart),
                Set.of());
    }

    private static AdmittedRequest request(List<PromptPart> parts) {
        RequestHead head =
                new RequestHead(
                        new RequestId("q"),
                        OptionalLong.empty(),
                        OptionalLong.empty(),
                        parts.stream().mapToLong(PromptPart::tokens).sum(),
                        parts);
        return new AdmittedRequest(
                head, view(false), route(), service(), Optional.empty(), 1, 0, 10_000);
    }

    private EndpointTable createTable() {
        return new EndpointTable(
                new ForwardingLog(new DecisionLog(time), new ViewLease(time, 1_000)));
    }

    private ForwardingEndpointSelector createSelector(EndpointTable endpoints, long seed) {
        return new ForwardingEndpointSelector(
                endpoints,
                new VersionSelector(new CanaryAllocation(0.1, 50), new SplittableRandom(seed)),
                time,
                new SplittableRandom(seed),
                DATA_CENTRE,
                new DataCentreMargin(OptionalLong.empty()),
                new ForwardingLog(new DecisionLog(time), new ViewLease(time, 1_000)),
                new NodeForwardingMetrics(metrics));
    }

    private static TrafficService service() {
        return new TrafficService(CHAT, "/h", 10, 0, true, Optional.empty());
    }

    private static TrafficRoute route() {
        return new TrafficRoute(
                new RouteId("r"),
                "ice.example",
                "/a/",
                RequestKind.STREAM,
                5_000,
                100,
                100,
                1,
                List.of(new WeightedService(CHAT, 1)),
                1,
                true);
    }

    private static GatewayView view(boolean isDraining) {
        return view(TestEndpoints.createEndpoints(CHAT, ENDPOINTS, isDraining));
    }

    private static GatewayView view(Map<EndpointId, KnownEndpoint> known) {
        TrafficDocument document =
                new TrafficDocument(1, List.of(route()), List.of(service()), List.of());
        return new GatewayView(
                1,
                Optional.of(new RouteTable(document)),
                Set.of(),
                Map.of(),
                known,
                1,
                Map.of(),
                Map.of());
    }
}
