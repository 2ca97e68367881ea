package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.dialect.LoadReport;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.telemetry.NodeForwardingMetrics;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.policy.placement.DataCentreMargin;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when {@link ForwardingEndpointSelector} finds that a request need not wait. */
public class EndpointRoomTests {

    private static final int SLOTS = 10;
    private static final long NOW_MS = 10_000;
    private static final int CALLS = 1_000;

    private static LoadReport load(int running, int waiting) {
        return new LoadReport(running, waiting, SLOTS, LoadReport.WORK_TIME_NOT_REPORTED);
    }

    @DataProvider
    public Object[][] states() {
        BiConsumer<EndpointTable, TrackedEndpoint> full =
                (table, endpoint) -> endpoint.updateLoad(load(SLOTS, 1), NOW_MS);
        return new Object[][] {
            {"nothing is known", step((table, endpoint) -> {}), true},
            {"full", step(full), false},
            {"below the bound", step((t, e) -> e.updateLoad(load(SLOTS, 0), NOW_MS)), true},
            {"stale report", step((t, e) -> e.updateLoad(load(SLOTS, 1), NOW_MS - 1_600)), true},
            {
                "filled since the report",
                step(
                        (t, e) -> {
                            e.updateLoad(load(SLOTS, 0), NOW_MS);
                            e.recordStart();
                        }),
                false
            },
            {
                "ended since the report",
                step(
                        (t, e) -> {
                            e.recordStart();
                            e.updateLoad(load(SLOTS, 1), NOW_MS);
                            e.recordEnd();
                        }),
                true
            },
            {"just refused", step((t, e) -> e.recordRefusal(NOW_MS)), false},
            {"refused earlier", step((t, e) -> e.recordRefusal(NOW_MS - 300)), true},
            {
                "reported room since the refusal",
                step(
                        (t, e) -> {
                            e.recordRefusal(NOW_MS - 100);
                            e.updateLoad(load(1, 0), NOW_MS);
                        }),
                true
            },
            {"full or leaving", others(full, (t, e) -> t.recordLeaving(e, NOW_MS)), false},
            {"full or held back", others(full, (t, e) -> t.recordPause(e, 500, NOW_MS)), false},
            {
                "full or in backoff",
                others(full, (t, e) -> e.recordConnectionFailure(NOW_MS)),
                false
            },
            {"only in backoff", step((t, e) -> e.recordConnectionFailure(NOW_MS)), true},
            {"full or unknown", others(full, (t, e) -> {}), true},
            {"none is available", step((t, e) -> t.recordLeaving(e, NOW_MS)), true},
        };
    }

    private static List<BiConsumer<EndpointTable, TrackedEndpoint>> step(
            BiConsumer<EndpointTable, TrackedEndpoint> all) {
        return List.of(all, all);
    }

    private static List<BiConsumer<EndpointTable, TrackedEndpoint>> others(
            BiConsumer<EndpointTable, TrackedEndpoint> first,
            BiConsumer<EndpointTable, TrackedEndpoint> others) {
        return List.of(first, others);
    }

    /** Guards against requests that wait beside an idle endpoint, or are sent to a full one. */
    @Test(dataProvider = "states")
    public void letsRequestsWaitOnlyIfAllAvailableEndpointsAreKnownToBeFull(
            String name, List<BiConsumer<EndpointTable, TrackedEndpoint>> steps, boolean hasRoom) {
        EndpointTable endpoints = createTable(3);
        for (TrackedEndpoint endpoint : endpoints.all()) {
            boolean isFirst = endpoint.id().equals(new EndpointId("e1"));
            steps.get(isFirst ? 0 : 1).accept(endpoints, endpoint);
        }
        assertEquals(
                createSelector(endpoints).hasRoom(ForwarderFixture.CHAT, NOW_MS), hasRoom, name);
    }

    /** Guards against refusals while cold endpoints have used up their rate and others are full. */
    @Test
    public void letsRequestsWaitForPermitOfColdEndpoint() {
        EndpointTable endpoints = createTable(1);
        TrafficDocument document = endpoints.view().routes().orElseThrow().document();
        TrafficService limited =
                new TrafficService(ForwarderFixture.CHAT, "/h", 10, 2, false, Optional.empty());
        endpoints.apply(
                ForwarderFixture.view(
                        new TrafficDocument(2, document.routes(), List.of(limited), List.of()),
                        endpoints.view().endpoints(),
                        Set.of()));
        endpoints.all().iterator().next().extendCold(NOW_MS + 9_000);
        ForwardingEndpointSelector selector = createSelector(endpoints);
        assertFalse(selector.hasRoom(ForwarderFixture.CHAT, NOW_MS));
        assertTrue(selector.hasRoom(ForwarderFixture.CHAT, NOW_MS + 500));
    }

    /** Guards against garbage in proportion to the endpoints, on each request. */
    @Test
    public void allocatesNothingPerEndpoint() {
        EndpointTable endpoints = createTable(200);
        for (TrackedEndpoint endpoint : endpoints.all()) {
            endpoints.recordPause(endpoint, 500, NOW_MS);
        }
        ForwardingEndpointSelector selector = createSelector(endpoints);
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        selector.hasRoom(ForwarderFixture.CHAT, NOW_MS);
        long beforeBytes = threads.getCurrentThreadAllocatedBytes();
        for (int i = 0; i < CALLS; i++) {
            selector.hasRoom(ForwarderFixture.CHAT, NOW_MS);
        }
        long bytesPerCall = (threads.getCurrentThreadAllocatedBytes() - beforeBytes) / CALLS;
        assertTrue(bytesPerCall < 200, bytesPerCall + " bytes per call");
    }

    private static EndpointTable createTable(int count) {
        ManualTimeSource time = new ManualTimeSource();
        EndpointTable endpoints =
                new EndpointTable(
                        new ForwardingLog(new DecisionLog(time), new ViewLease(time, 1_000)));
        endpoints.apply(
                ForwarderFixture.view(
                        RequestKind.STREAM,
                        1,
                        TestEndpoints.createEndpoints(ForwarderFixture.CHAT, count, false),
                        Set.of()));
        return endpoints;
    }

    private static ForwardingEndpointSelector createSelector(EndpointTable endpoints) {
        ManualTimeSource time = new ManualTimeSource();
        return new ForwardingEndpointSelector(
                endpoints,
                new VersionSelector(new CanaryAllocation(0.1, 50), new SplittableRandom(1)),
                time,
                new SplittableRandom(1),
                new DataCentreId("dc-1"),
                new DataCentreMargin(OptionalLong.empty()),
                new ForwardingLog(new DecisionLog(time), new ViewLease(time, 1_000)),
                new NodeForwardingMetrics(new NodeMetrics()));
    }
}
