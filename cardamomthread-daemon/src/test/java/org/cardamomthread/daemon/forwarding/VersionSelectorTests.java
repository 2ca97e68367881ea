package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.view.KnownEndpoint;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link VersionSelector} on a move from v1 to v2. */
public class VersionSelectorTests {

    private static final ServiceId CHAT = new ServiceId("chat");
    private static final int GATEWAYS = 5;

    @DataProvider
    public Object[][] stages() {
        return new Object[][] {
            {MoveStage.PROMOTED, List.of("v1", "v2"), "v2"},
            {MoveStage.PROMOTED, List.of("v1"), "v1"},
            {MoveStage.DONE, List.of("v1", "v2"), "v2"},
            {MoveStage.TAKEN_BACK, List.of("v1", "v2"), "v1"},
            {MoveStage.TAKEN_BACK, List.of("v2"), null},
            {MoveStage.RUNNING, List.of("v2"), "v2"},
        };
    }

    @Test(dataProvider = "stages")
    public void selectsTheVersionOfTheStage(
            MoveStage stage, List<String> versions, String expected) {
        VersionSelector selector =
                new VersionSelector(new CanaryAllocation(0.1, 50), new SplittableRandom(1));
        List<TrackedEndpoint> selected =
                selector.select(CHAT, move(stage), GATEWAYS, endpoints(versions));
        assertEquals(
                selected.stream().map(VersionSelectorTests::versionOf).findFirst().orElse(null),
                expected);
    }

    @DataProvider
    public Object[][] requestCounts() {
        return new Object[][] {{30}, {100}, {400}, {4_000}};
    }

    @Test(dataProvider = "requestCounts")
    public void sendsACanaryNoMoreThanIsAllowedOverAllGateways(int requests) {
        int canaryRequests = 0;
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            canaryRequests += countCanaryRequests(gateway, requests / GATEWAYS);
        }
        assertTrue(canaryRequests <= 0.1 * requests + 50, canaryRequests + " of " + requests);
    }

    @Test
    public void judgesAVersionSoonOnAServiceWithLittleTraffic() {
        int canaryRequests = 0;
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
            canaryRequests += countCanaryRequests(gateway, 8);
        }
        assertTrue(canaryRequests >= 10, canaryRequests + " of 40 requests went to the canary");
    }

    private static int countCanaryRequests(int seed, int requests) {
        VersionSelector selector =
                new VersionSelector(new CanaryAllocation(0.1, 50), new SplittableRandom(seed));
        int canaryRequests = 0;
        for (int i = 0; i < requests; i++) {
            List<TrackedEndpoint> selected =
                    selector.select(
                            CHAT,
                            move(MoveStage.RUNNING),
                            GATEWAYS,
                            endpoints(List.of("v1", "v2")));
            canaryRequests += versionOf(selected.get(0)).equals("v2") ? 1 : 0;
        }
        return canaryRequests;
    }

    private static VersionMoveState move(MoveStage stage) {
        return VersionMoveState.newBuilder()
                .setService(CHAT.value())
                .setTarget("v2")
                .setStage(stage)
                .build();
    }

    private static String versionOf(TrackedEndpoint endpoint) {
        return endpoint.knownEndpoint().report().version().value();
    }

    private static List<TrackedEndpoint> endpoints(List<String> versions) {
        List<TrackedEndpoint> endpoints = new ArrayList<>();
        for (String version : versions) {
            EndpointReport report =
                    new EndpointReport(
                            new EndpointId("e-" + version),
                            1,
                            1,
                            CHAT,
                            NetworkAddress.parse("10.0.0.1:80"),
                            new DataCentreId("perth-a"),
                            new VersionId(version),
                            8,
                            false,
                            0,
                            false);
            endpoints.add(new TrackedEndpoint(new KnownEndpoint(report, 0)));
        }
        return endpoints;
    }
}
