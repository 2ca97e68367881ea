package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.configuration.traffic.TrafficRoute;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.WeightedService;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.ViewLease;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the prompt affinity of {@link ForwardingEndpointSelector}. */
public class ForwardingEndpointSelectorTests {

    private static final ServiceId CHAT = new ServiceId("chat");
    private static final int ENDPOINTS = 6;

    private ManualTimeSource time;
    private EndpointTable endpoints;
    private ForwardingEndpointSelector selector;

    @BeforeMethod
    public void setUp() {
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

    private static Optional<TrackedEndpoint> select(
            ForwardingEndpointSelector selector, String sharedPart) {
        return selector.select(service(), Optional.of(sharedPart), Set.of());
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
                new SplittableRandom(seed));
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
        TrafficDocument document =
                new TrafficDocument(1, List.of(route()), List.of(service()), List.of());
        return new GatewayView(
                1,
                Optional.of(new RouteTable(document)),
                Set.of(),
                Map.of(),
                TestEndpoints.createEndpoints(CHAT, ENDPOINTS, isDraining),
                1,
                Map.of(),
                Map.of());
    }
}
