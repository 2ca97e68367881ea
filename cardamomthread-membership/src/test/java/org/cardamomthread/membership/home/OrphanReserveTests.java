package org.cardamomthread.membership.home;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.cardamomthread.core.id.NodeId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when requests without a reporting gateway stop being reserved for. */
public class OrphanReserveTests {

    private static final HomeSettings SETTINGS = HomeSettings.defaults();
    private static final NodeId GATEWAY = new NodeId("gateway-1");
    private static final long ADDED_MS = 100_000;
    private static final long SETTLED_MS = ADDED_MS + SETTINGS.settleMs();
    private static final int ORPHANS = 4;

    private OrphanReserve reserve;
    private GatewayAccount account;

    @BeforeMethod
    public void addOrphans() {
        reserve = new OrphanReserve(SETTINGS);
        account = new GatewayAccount();
        account.report(10, 7, ADDED_MS - 1_000);
        reserve.add(ORPHANS, ADDED_MS);
    }

    @DataProvider
    public Object[][] reports() {
        return new Object[][] {
            {1, SETTLED_MS - 1, ORPHANS},
            {1, SETTLED_MS, 1},
            {0, SETTLED_MS, 0},
            {9, SETTLED_MS, ORPHANS},
        };
    }

    @Test(dataProvider = "reports")
    public void onlyAReportMadeLateEnoughLowersTheCount(int inFlight, long madeMs, int expected) {
        reserve.report(inFlight, madeMs, SETTLED_MS, Map.of());
        assertEquals(reserve.count(SETTLED_MS), expected);
    }

    @DataProvider
    public Object[][] demands() {
        long receivedMs = SETTLED_MS + 100;
        long settledMs = receivedMs + SETTINGS.settleMs();
        return new Object[][] {
            {7L, settledMs - 1, ORPHANS},
            {7L, settledMs, 1},
            {9L, settledMs, 3},
            {12L, settledMs, ORPHANS},
        };
    }

    @Test(dataProvider = "demands")
    public void requestsInFlightThroughoutAreNotOrphans(
            long finished, long sentAfterMs, int expected) {
        reserve.report(ORPHANS, SETTLED_MS, SETTLED_MS + 100, Map.of(GATEWAY, account));
        reserve.demand(GATEWAY, finished, sentAfterMs);
        assertEquals(reserve.count(SETTLED_MS + 1_000), expected);
    }

    @Test
    public void longestRequestEndsTheReserve() {
        long endMs = ADDED_MS + SETTINGS.maxRequestMs();
        assertEquals(reserve.count(endMs - 1), ORPHANS);
        assertEquals(reserve.count(endMs), 0);
    }
}
