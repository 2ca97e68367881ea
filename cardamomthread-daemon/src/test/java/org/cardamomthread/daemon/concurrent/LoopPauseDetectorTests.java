package org.cardamomthread.daemon.concurrent;

import static org.testng.Assert.assertEquals;

import org.cardamomthread.core.time.ManualTimeSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests after which pauses a node distrusts what it reads. */
public class LoopPauseDetectorTests {

    private final ManualTimeSource timeSource = new ManualTimeSource();

    @DataProvider
    public Object[][] pauses() {
        long minPauseMs = LoopPauseDetector.MIN_PAUSE_MS;
        long backlogMs = LoopPauseDetector.BACKLOG_MS;
        return new Object[][] {
            {minPauseMs - 1, 0, false},
            {minPauseMs, 0, true},
            {3_000, backlogMs - 1, true},
            {3_000, backlogMs, false},
        };
    }

    @Test(dataProvider = "pauses")
    public void distrustsReadsForAWhileAfterAPause(
            long pauseMs, long elapsedMs, boolean isReadingBacklog) {
        LoopPauseDetector detector = new LoopPauseDetector(timeSource);
        timeSource.advanceMs(pauseMs);
        assertEquals(
                detector.isReadingBacklog(),
                pauseMs >= LoopPauseDetector.MIN_PAUSE_MS,
                "before the loop has run its other tasks");
        detector.tick();
        for (long ms = 0; ms < elapsedMs; ms++) {
            timeSource.advanceMs(1);
            detector.tick();
        }
        assertEquals(detector.isReadingBacklog(), isReadingBacklog);
    }
}
