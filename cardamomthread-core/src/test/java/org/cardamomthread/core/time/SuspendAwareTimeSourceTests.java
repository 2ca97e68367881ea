package org.cardamomthread.core.time;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link SuspendAwareTimeSource}. */
public class SuspendAwareTimeSourceTests {

    private long wallClockMs;
    private long hostMonotonicMs;
    private long pauseBeforeWallClockMs;
    private long pauseBeforeMonotonicMs;
    private TimeSource clock;

    @BeforeMethod
    public void startClocks() {
        wallClockMs = 1_000_000;
        hostMonotonicMs = 500;
        pauseBeforeWallClockMs = 0;
        pauseBeforeMonotonicMs = 0;
        clock =
                new SuspendAwareTimeSource(
                        new TimeSource() {
                            @Override
                            public Instant instant() {
                                wallClockMs += pauseBeforeWallClockMs;
                                hostMonotonicMs += pauseBeforeWallClockMs;
                                return Instant.ofEpochMilli(wallClockMs);
                            }

                            @Override
                            public long monotonicMs() {
                                wallClockMs += pauseBeforeMonotonicMs;
                                hostMonotonicMs += pauseBeforeMonotonicMs;
                                return hostMonotonicMs;
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
            String name, long wallClockStepMs, long monotonicStepMs, long expectedMs) {
        long beforeMs = clock.monotonicMs();
        wallClockMs += wallClockStepMs;
        hostMonotonicMs += monotonicStepMs;
        assertEquals(clock.monotonicMs() - beforeMs, expectedMs, name);
    }

    @DataProvider
    public Object[][] pauses() {
        return new Object[][] {{300, 0}, {0, 300}, {300, 300}};
    }

    @Test(dataProvider = "pauses")
    public void takesNoPauseBetweenTheReadsOfTwoClocksForASuspension(
            long beforeWallClockMs, long beforeMonotonicMs) {
        long beforeMs = clock.monotonicMs();
        long hostBeforeMs = hostMonotonicMs;
        pauseBeforeWallClockMs = beforeWallClockMs;
        pauseBeforeMonotonicMs = beforeMonotonicMs;
        clock.monotonicMs();
        pauseBeforeWallClockMs = 0;
        pauseBeforeMonotonicMs = 0;
        assertEquals(clock.monotonicMs() - beforeMs, hostMonotonicMs - hostBeforeMs);
    }

    @Test
    public void neverDecreases() {
        long previousMs = clock.monotonicMs();
        for (long wallClockStepMs : new long[] {4_000, -4_000, 2_000, -9_000, 0}) {
            wallClockMs += wallClockStepMs;
            hostMonotonicMs += 1;
            long nowMs = clock.monotonicMs();
            assertEquals(
                    nowMs >= previousMs,
                    true,
                    "after a wall clock step in ms of " + wallClockStepMs);
            previousMs = nowMs;
        }
    }

    @Test
    public void includesSuspensionAfterWallClockWasSetBack() {
        clock.monotonicMs();
        wallClockMs -= 60_000;
        long beforeMs = clock.monotonicMs();
        wallClockMs += 7_000;
        assertEquals(clock.monotonicMs() - beforeMs, 7_000);
    }
}
