package org.cardamomthread.daemon.start;

import static org.cardamomthread.daemon.start.DaemonExitCode.INTERNAL_FAILURE;
import static org.cardamomthread.daemon.start.DaemonExitCode.INVALID_SETTINGS;
import static org.cardamomthread.daemon.start.DaemonExitCode.LISTEN_FAILURE;
import static org.cardamomthread.daemon.start.DaemonExitCode.STOPPED;
import static org.cardamomthread.daemon.start.DaemonExitCode.STORAGE_FAILURE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a failed start is tried again, and that the tries end. */
public class StartRetryPolicyTests {

    private static final long RESOURCE_PERIOD_MS = 75_000;
    private static final long START_MS = 1_000_000;

    private final StartRetryPolicy policy = new StartRetryPolicy(RESOURCE_PERIOD_MS);

    @DataProvider
    public Object[][] periods() {
        return new Object[][] {
            {INVALID_SETTINGS, 3_000},
            {LISTEN_FAILURE, RESOURCE_PERIOD_MS},
            {STORAGE_FAILURE, RESOURCE_PERIOD_MS},
            {INTERNAL_FAILURE, 15_000},
            {STOPPED, 0},
        };
    }

    @Test(dataProvider = "periods")
    public void triesAgainUntilThePeriodOfTheFailureEnds(DaemonExitCode failure, long periodMs) {
        StartRetryPolicy fresh = new StartRetryPolicy(RESOURCE_PERIOD_MS);
        long nowMs = START_MS;
        OptionalLong delayMs = fresh.recordFailure(failure, nowMs);
        for (int i = 0; delayMs.isPresent() && i < 1_000; i++) {
            assertTrue(delayMs.getAsLong() <= StartRetryPolicy.MAX_DELAY_MS);
            nowMs += delayMs.getAsLong();
            delayMs = fresh.recordFailure(failure, nowMs);
        }
        assertTrue(delayMs.isEmpty());
        assertEquals(nowMs - START_MS, periodMs);
    }

    @Test
    public void doublesTheDelayUpToASecond() {
        long[] expectedMs = {50, 100, 200, 400, 800, 1_000, 1_000};
        for (long delayMs : expectedMs) {
            assertEquals(policy.recordFailure(LISTEN_FAILURE, START_MS).getAsLong(), delayMs);
        }
    }

    @Test
    public void givesAFailureThatFollowsAnotherItsOwnPeriod() {
        policy.recordFailure(STORAGE_FAILURE, START_MS);
        OptionalLong delayMs = policy.recordFailure(INVALID_SETTINGS, START_MS + 6_000);
        assertEquals(delayMs, OptionalLong.of(StartRetryPolicy.MIN_DELAY_MS));
    }
}
