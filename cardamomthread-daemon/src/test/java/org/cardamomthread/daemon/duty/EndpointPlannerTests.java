package org.cardamomthread.daemon.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.configuration.traffic.EndpointScaling;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.registry.RegisteredEndpoint;
import org.cardamomthread.daemon.view.generated.ServiceLoad;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link EndpointPlanner} on a service with six endpoints in two data centres. */
public class EndpointPlannerTests {

    private static final ServiceId CHAT = new ServiceId("chat");
    private static final int SLOTS = 64;
    private static final EndpointScaling SCALING =
            new EndpointScaling(
                    1,
                    7,
                    4_000,
                    0.2,
                    Map.of(new DataCentreId("perth-a"), 1.0, new DataCentreId("perth-b"), 1.2));
    private static final TrafficService SERVICE =
            new TrafficService(CHAT, "/h", 10, 0, true, Optional.of(SCALING));

    private EndpointPlanner planner;
    private long nowMs;

    @BeforeMethod
    public void setUp() {
        planner = new EndpointPlanner();
        nowMs = 100_000;
    }

    @Test
    public void requestsEndpointsAgainAfterTheLastOneIsLost() {
        plan(endpoints(6, "v1", true), Optional.empty());
        nowMs += 10_000;
        EndpointPlanner.Plan plan = plan(List.of(), Optional.empty());
        assertEquals(requested(plan), 6, plan.toString());
    }

    @Test
    public void requestsEndpointsForAServiceOfWhichNoneWasEverSeen() {
        EndpointPlanner.Plan plan = plan(List.of(), Optional.empty());
        assertEquals(requested(plan), 2, "one in each data centre: " + plan);
    }

    @Test
    public void restoresTheUsualSizeWhenItBecomesLeaderAfterALoss() {
        planner.observe(SERVICE, endpoints(6, "v1", true), Optional.empty(), nowMs, nowMs);
        nowMs += 5_000;
        EndpointPlanner.Plan plan = plan(endpoints(2, "v1", true), Optional.empty());
        assertEquals(plan.desired(), 6, plan.toString());
    }

    @Test
    public void requestsEndpointsThatWereLostShortlyAfterARequest() {
        plan(endpoints(6, "v1", true), Optional.empty());
        EndpointPlanner.Plan first = plan(endpoints(4, "v1", true), Optional.empty());
        assertEquals(requested(first), 2, first.toString());
        first.requests()
                .forEach(
                        request -> {
                            planner.recordSent(request, nowMs);
                            planner.recordAccepted(request, nowMs);
                        });
        nowMs += 1_000;
        EndpointPlanner.Plan plan = plan(List.of(), Optional.empty());
        assertEquals(requested(plan), 4, "two more are starting: " + plan);
    }

    @DataProvider
    public Object[][] stagesWithBothVersions() {
        return new Object[][] {
            {MoveStage.RUNNING}, {MoveStage.PROMOTED}, {MoveStage.DONE}, {MoveStage.TAKEN_BACK},
        };
    }

    @Test(dataProvider = "stagesWithBothVersions")
    public void releasesNoEndpointWhileBothVersionsOfAMoveArePresent(MoveStage stage) {
        plan(endpoints(6, "v1", true), Optional.empty());
        List<RegisteredEndpoint> both = new ArrayList<>(endpoints(6, "v1", true));
        both.addAll(endpoints(6, "v2", false));
        EndpointPlanner.Plan plan = plan(both, Optional.of(move(stage)));
        assertEquals(plan.requests(), List.of());
    }

    @Test
    public void requestsEndpointsIfTheTargetVersionHasTooFewOnceItHasAllTraffic() {
        plan(endpoints(6, "v1", true), Optional.empty());
        List<RegisteredEndpoint> both = new ArrayList<>(endpoints(6, "v1", true));
        both.addAll(endpoints(1, "v2", false));
        EndpointPlanner.Plan plan = plan(both, Optional.of(move(MoveStage.PROMOTED)));
        assertEquals(plan.usable(), 1);
        assertTrue(requested(plan) > 0, plan.toString());
    }

    @Test
    public void neverRequestsMoreThanTheMaximumForEndpointsOfARolledBackVersion() {
        plan(endpoints(6, "v1", true), Optional.empty());
        EndpointPlanner.Plan plan =
                plan(endpoints(14, "v2", true), Optional.of(move(MoveStage.TAKEN_BACK)));
        assertTrue(
                plan.requests().stream()
                        .allMatch(request -> request.count() <= SCALING.maxPerDataCentre()),
                plan.toString());
    }

    @Test
    public void releasesSurplusEndpointsAfterAMove() {
        plan(endpoints(6, "v1", false), Optional.empty());
        nowMs += 20_000;
        VersionMoveState done =
                move(MoveStage.DONE).toBuilder().setEndedAtMs(nowMs - 15_000).build();
        EndpointPlanner.Plan plan = plan(endpoints(16, "v2", false), Optional.of(done));
        assertTrue(!plan.isMoving() && !plan.requests().isEmpty(), plan.toString());
    }

    private EndpointPlanner.Plan plan(
            List<RegisteredEndpoint> present, Optional<VersionMoveState> move) {
        planner.observe(SERVICE, present, move, nowMs, nowMs);
        return planner.plan(
                SERVICE, SCALING, present, move, ServiceLoad.getDefaultInstance(), nowMs, nowMs);
    }

    private static int requested(EndpointPlanner.Plan plan) {
        return plan.requests().stream().mapToInt(EndpointPlanner.Request::count).sum();
    }

    private VersionMoveState move(MoveStage stage) {
        return VersionMoveState.newBuilder()
                .setService(CHAT.value())
                .setTarget("v2")
                .setStage(stage)
                .setStartedAtMs(nowMs - 1_000)
                .setDurationMs(15_000)
                .setEndedAtMs(nowMs)
                .build();
    }

    private List<RegisteredEndpoint> endpoints(int count, String version, boolean isReclaimable) {
        List<RegisteredEndpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            EndpointReport report =
                    new EndpointReport(
                            new EndpointId(version + "-" + i),
                            1,
                            1,
                            CHAT,
                            NetworkAddress.parse("10.0.0." + (i + 1) + ":80"),
                            new DataCentreId(i % 2 == 0 ? "perth-a" : "perth-b"),
                            new VersionId(version),
                            SLOTS,
                            false,
                            0,
                            isReclaimable);
            endpoints.add(new RegisteredEndpoint(report, false, false, nowMs, 0, 1));
        }
        return endpoints;
    }
}
