package org.cardamomthread.daemon.start;

import static org.cardamomthread.daemon.start.DaemonExitCode.INTERNAL_FAILURE;
import static org.cardamomthread.daemon.start.DaemonExitCode.INVALID_SETTINGS;
import static org.cardamomthread.daemon.start.DaemonExitCode.LISTEN_FAILURE;
import static org.cardamomthread.daemon.start.DaemonExitCode.STORAGE_FAILURE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a failed start is tried again, and that the tries end. */
public class StartRetryPolicyTests {

    private final StartRetryPolicy policy = new StartRetryPolicy();

    @DataProvider
    public Object[][] delays() {
        return new Object[][] {
            {INVALID_SETTINGS, 1, 0, OptionalLong.of(50)},
            {INVALID_SETTINGS, 2, 50, OptionalLong.of(100)},
            {INVALID_SETTINGS, 6, 2_950, OptionalLong.of(50)},
            {INVALID_SETTINGS, 7, 3_000, OptionalLong.empty()},
            {LISTEN_FAILURE, 6, 3_000, OptionalLong.of(1_000)},
            {LISTEN_FAILURE, 1_000_000, 14_999, OptionalLong.of(1)},
            {LISTEN_FAILURE, 20, 15_000, OptionalLong.empty()},
            {STORAGE_FAILURE, 5, 10_000, OptionalLong.of(800)},
            {STORAGE_FAILURE, 20, 20_000, OptionalLong.empty()},
            {INTERNAL_FAILURE, 1, 0, OptionalLong.empty()},
        };
    }

    @Test(dataProvider = "delays")
    public void retriesWithinAPeriodThatTheFailureDecides(
            DaemonExitCode failure, int failures, long sinceFirstFailureMs, OptionalLong expected) {
        assertEquals(policy.delayBeforeRetryMs(failure, failures, sinceFirstFailureMs), expected);
    }

    @Test
    public void endsAProcessWhoseSettingsAreInvalidForGood() {
        long elapsedMs = 0;
        int failures = 1;
        OptionalLong delayMs = policy.delayBeforeRetryMs(INVALID_SETTINGS, failures, elapsedMs);
        while (delayMs.isPresent() && failures < 100) {
            elapsedMs += delayMs.getAsLong();
            failures++;
            delayMs = policy.delayBeforeRetryMs(INVALID_SETTINGS, failures, elapsedMs);
        }
        assertTrue(delayMs.isEmpty());
        assertEquals(elapsedMs, StartRetryPolicy.INVALID_SETTINGS_PERIOD_MS);
    }
}
