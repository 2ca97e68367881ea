package org.cardamomthread.membership.home;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.cardamomthread.core.id.NodeId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when {@link OrphanedRequests} lowers its count. */
public class OrphanedRequestsTests {

    private static final HomeSettings SETTINGS = HomeSettings.defaults();
    private static final NodeId GATEWAY = new NodeId("gateway-1");
    private static final long ADDED_MS = 100_000;
    private static final long SETTLED_MS = ADDED_MS + SETTINGS.maxCountSkewMs();
    private static final int ORPHANED_REQUESTS = 4;

    private OrphanedRequests orphanedRequests;
    private GatewayAccount account;

    @BeforeMethod
    public void addOrphanedRequests() {
        orphanedRequests = new OrphanedRequests(SETTINGS);
        account = new GatewayAccount();
        account.recordCounts(10, 7, ADDED_MS - 1_000);
        orphanedRequests.add(ORPHANED_REQUESTS, ADDED_MS);
    }

    @DataProvider
    public Object[][] reports() {
        return new Object[][] {
            {1, SETTLED_MS - 1, ORPHANED_REQUESTS},
            {1, SETTLED_MS, 1},
            {0, SETTLED_MS, 0},
            {9, SETTLED_MS, ORPHANED_REQUESTS},
        };
    }

    @Test(dataProvider = "reports")
    public void onlyAReportMadeAfterTheMaximumCountSkewLowersTheCount(
            int inFlight, long madeMs, int expected) {
        orphanedRequests.onEndpointReport(inFlight, madeMs, SETTLED_MS, Map.of());
        assertEquals(orphanedRequests.count(SETTLED_MS), expected);
    }

    @DataProvider
    public Object[][] demands() {
        long receivedMs = SETTLED_MS + 100;
        long settledMs = receivedMs + SETTINGS.maxCountSkewMs();
        return new Object[][] {
            {7L, settledMs - 1, ORPHANED_REQUESTS},
            {7L, settledMs, 1},
            {9L, settledMs, 3},
            {12L, settledMs, ORPHANED_REQUESTS},
        };
    }

    @Test(dataProvider = "demands")
    public void requestsOfReportingGatewaysAreNotOrphaned(
            long finished, long earliestSendMs, int expected) {
        orphanedRequests.onEndpointReport(
                ORPHANED_REQUESTS, SETTLED_MS, SETTLED_MS + 100, Map.of(GATEWAY, account));
        orphanedRequests.onGatewayDemand(GATEWAY, finished, earliestSendMs);
        assertEquals(orphanedRequests.count(SETTLED_MS + 1_000), expected);
    }

    @Test
    public void countExpiresAfterTheMaximumRequestDuration() {
        long expiryMs = ADDED_MS + SETTINGS.maxRequestDurationMs();
        assertEquals(orphanedRequests.count(expiryMs - 1), ORPHANED_REQUESTS);
        assertEquals(orphanedRequests.count(expiryMs), 0);
    }
}
