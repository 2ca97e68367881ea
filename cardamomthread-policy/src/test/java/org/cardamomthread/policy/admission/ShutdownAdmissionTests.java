package org.cardamomthread.policy.admission;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import org.cardamomthread.core.id.RouteId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ShutdownAdmission} and the durations by which it decides. */
public class ShutdownAdmissionTests {

    private static final RouteId CHAT = new RouteId("chat");
    private static final RouteId DRAFTS = new RouteId("drafts");
    private static final long TIME_LIMIT_MS = 12_000;
    private static final long STOP_MS = 100_000;
    private static final long END_MS = STOP_MS + 7_000;

    private RouteDurations durations;
    private ShutdownAdmission admission;

    @BeforeMethod
    public void create() {
        durations = new RouteDurations();
        admission = new ShutdownAdmission(durations);
    }

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"short", 100L, 0L, true},
            {"short, near the end", 100L, 6_875L, true},
            {"short, at the end", 100L, 6_876L, false},
            {"long", 4_000L, 2_000L, true},
            {"long, late", 4_000L, 2_001L, false},
            {"longer than its time limit", 20_000L, 0L, false},
            {"unknown", 0L, 0L, false},
            {"after the end", 1L, 7_000L, false},
        };
    }

    @Test(dataProvider = "requests")
    public void takesRequestThatIsLikelyToEndBeforeTheGateway(
            String name, long recentDurationMs, long sinceStopMs, boolean expected) {
        if (recentDurationMs > 0) {
            durations.record(CHAT, recentDurationMs, STOP_MS);
        }
        admission.stopAt(END_MS);
        assertEquals(admission.mayTake(CHAT, TIME_LIMIT_MS, STOP_MS + sinceStopMs), expected, name);
    }

    @Test
    public void takesEveryRequestWhileTheGatewayIsNotBeingStopped() {
        assertEquals(admission.mayTake(CHAT, TIME_LIMIT_MS, STOP_MS), true);
    }

    @Test
    public void takesRequestOfUnknownDurationWhoseTimeLimitFits() {
        admission.stopAt(END_MS);
        assertEquals(admission.mayTake(CHAT, 7_000, STOP_MS), true);
    }

    @Test
    public void neverMovesTheEndBack() {
        durations.record(CHAT, 100, STOP_MS);
        admission.stopAt(STOP_MS);
        admission.stopAt(END_MS);
        assertEquals(admission.mayTake(CHAT, TIME_LIMIT_MS, STOP_MS), false);
    }

    @DataProvider
    public Object[][] agesOfTheLongestDuration() {
        long periodMs = RouteDurations.PERIOD_MS;
        return new Object[][] {
            {0L, OptionalLong.of(900)},
            {periodMs, OptionalLong.of(900)},
            {2 * periodMs - 1, OptionalLong.of(900)},
            {2 * periodMs, OptionalLong.empty()},
            {10 * periodMs, OptionalLong.empty()},
        };
    }

    @Test(dataProvider = "agesOfTheLongestDuration")
    public void forgetsDurationAfterTwoPeriods(long ageMs, OptionalLong expected) {
        durations.record(CHAT, 900, 0);
        durations.record(CHAT, 30, 0);
        durations.record(DRAFTS, 5_000, 0);
        assertEquals(durations.longestMs(CHAT, ageMs), expected);
    }
}
