package org.cardamomthread.policy.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link SlowStart}. */
public class SlowStartTests {

    private static final EndpointClassLimits LIMITS = new EndpointClassLimits(2, 16, 30_000);

    private SlowStart slowStart;

    @BeforeMethod
    public void createSlowStart() {
        slowStart = new SlowStart(LIMITS, 0);
        slowStart.onAnnouncement(1, 16, false, 0);
    }

    private void recordTimelyCalls(int calls, long nowMs) {
        for (int i = 0; i < calls; i++) {
            slowStart.onFirstToken(100, 100, slowStart.limit(), nowMs, nowMs);
        }
    }

    @Test
    public void raisesLimitOnlyWithTimeAndTimelyCalls() {
        assertEquals(slowStart.limit(), 2);
        recordTimelyCalls(100, 0);
        assertEquals(slowStart.limit(), 2);
        recordTimelyCalls(2, 15_000);
        assertEquals(slowStart.limit(), 4);
        recordTimelyCalls(100, 30_000);
        assertEquals(slowStart.limit(), 16);
    }

    @DataProvider
    public Object[][] coldTriggers() {
        return new Object[][] {{"restart"}, {"report"}, {"slow calls"}, {"overload"}};
    }

    @Test(dataProvider = "coldTriggers")
    public void resetsLimitWhenEndpointIsColdAgain(String trigger) {
        recordTimelyCalls(200, 40_000);
        assertEquals(slowStart.limit(), 16);
        switch (trigger) {
            case "restart" -> slowStart.onAnnouncement(2, 16, false, 50_000);
            case "report" -> slowStart.onAnnouncement(1, 16, true, 50_000);
            case "overload" -> slowStart.onOverload(49_000, 50_000);
            default -> {
                slowStart.onFirstToken(900, 100, 4, 49_000, 50_000);
                slowStart.onFirstToken(900, 100, 4, 49_000, 50_000);
            }
        }
        assertEquals(slowStart.limit(), 2);
        assertTrue(slowStart.isWarmingUp(51_000));
    }

    @Test
    public void ignoresCallsBeforeRestartAndOldAnnouncements() {
        slowStart.onAnnouncement(5, 16, false, 50_000);
        for (int i = 0; i < 50; i++) {
            slowStart.onFirstToken(10, 100, 16, 49_000, 90_000);
        }
        assertEquals(slowStart.limit(), 2);
        slowStart.onAnnouncement(4, 0, false, 90_000);
        assertEquals(slowStart.limit(), 2);
    }

    @Test
    public void neverExceedsReportedConcurrencyUnderRandomEvents() {
        Random random = new Random(8);
        long incarnation = 1;
        int maxConcurrency = 16;
        for (int step = 0; step < 20_000; step++) {
            long nowMs = step * 50L;
            int event = random.nextInt(200);
            if (event == 0) {
                incarnation++;
                slowStart.onAnnouncement(incarnation, maxConcurrency, false, nowMs);
                assertTrue(slowStart.limit() <= LIMITS.coldConcurrency());
            } else if (event < 10) {
                maxConcurrency = random.nextInt(20);
                slowStart.onAnnouncement(incarnation, maxConcurrency, false, nowMs);
            } else {
                slowStart.onFirstToken(100, 100, 16, nowMs, nowMs);
            }
            assertTrue(slowStart.limit() <= Math.min(maxConcurrency, LIMITS.warmConcurrency()));
        }
    }
}
