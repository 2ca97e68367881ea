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
            {"both clocks run", 100, 100, 100},
            {"the host was suspended", 5_000, 10, 5_000},
            {"the wall clock is adjusted a little", 120, 100, 100},
            {"the wall clock is set back", -3_000, 100, 100},
        };
    }

    @Test(dataProvider = "advances")
    public void countsSuspendedTime(String name, long wallStep, long steadyStep, long expected) {
        long before = clock.monotonicMs();
        wallMs += wallStep;
        steadyMs += steadyStep;
        assertEquals(clock.monotonicMs() - before, expected, name);
    }

    @Test
    public void neverRunsBackwards() {
        long latest = clock.monotonicMs();
        for (long step : new long[] {4_000, -4_000, 2_000, -9_000, 0}) {
            wallMs += step;
            steadyMs += 1;
            long now = clock.monotonicMs();
            assertEquals(now >= latest, true, "after a step of " + step);
            latest = now;
        }
    }

    @Test
    public void countsASuspensionAfterTheWallClockWasSetBack() {
        clock.monotonicMs();
        wallMs -= 60_000;
        long before = clock.monotonicMs();
        wallMs += 7_000;
        assertEquals(clock.monotonicMs() - before, 7_000);
    }
}
