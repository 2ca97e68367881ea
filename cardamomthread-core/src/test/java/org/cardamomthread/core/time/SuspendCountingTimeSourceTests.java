package org.cardamomthread.core.time;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link SuspendCountingTimeSource}. */
public class SuspendCountingTimeSourceTests {

    private long wallMs;
    private long steadyMs;
    private TimeSource clock;

    @BeforeMethod
    public void startClocks() {
        wallMs = 1_000_000;
        steadyMs = 500;
        clock =
                new SuspendCountingTimeSource(
                        new TimeSource() {
                            @Override
                            public Instant instant() {
                                return Instant.ofEpochMilli(wallMs);
                            }

                            @Override
                            public long monotonicMs() {
                                return steadyMs;
                            }
                        });
    }

    @DataProvider
    public Object[][] advances() {
        return new Object[][] {
            {"both clocks advance equally", 100, 100, 100},
            {"the host was suspended", 5_000, 10, 5_000},
            {"the wall clock is adjusted within the tolerance", 120, 100, 100},
            {"the wall clock is set back", -3_000, 100, 100},
        };
    }

    @Test(dataProvider = "advances")
    public void includesOnlyTimeOfSuspension(
            String name, long wallStepMs, long steadyStepMs, long expectedMs) {
        long beforeMs = clock.monotonicMs();
        wallMs += wallStepMs;
        steadyMs += steadyStepMs;
        assertEquals(clock.monotonicMs() - beforeMs, expectedMs, name);
    }

    @Test
    public void neverDecreases() {
        long previousMs = clock.monotonicMs();
        for (long wallStepMs : new long[] {4_000, -4_000, 2_000, -9_000, 0}) {
            wallMs += wallStepMs;
            steadyMs += 1;
            long nowMs = clock.monotonicMs();
            assertEquals(
                    nowMs >= previousMs, true, "after a wall clock step in ms of " + wallStepMs);
            previousMs = nowMs;
        }
    }

    @Test
    public void includesSuspensionAfterWallClockWasSetBack() {
        clock.monotonicMs();
        wallMs -= 60_000;
        long beforeMs = clock.monotonicMs();
        wallMs += 7_000;
        assertEquals(clock.monotonicMs() - beforeMs, 7_000);
    }
}
