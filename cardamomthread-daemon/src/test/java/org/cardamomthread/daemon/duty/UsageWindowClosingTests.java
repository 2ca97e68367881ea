package org.cardamomthread.daemon.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.view.GatewayReports;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when the counts of accounting windows are taken for final. */
public class UsageWindowClosingTests {

    private static final long WINDOW_MS = 5_000;
    private static final long WINDOW = 7;
    private static final long END_MS = (WINDOW + 1) * WINDOW_MS;
    private static final long PRESENCE_TIMEOUT_MS = 5_000;

    @DataProvider
    public Object[][] times() {
        return new Object[][] {
            {"complete, too early", 10_000L, true, 1_499L, false},
            {"complete", 10_000L, true, 1_500L, true},
            {"incomplete", 10_000L, false, 6_999L, false},
            {"incomplete, late", 10_000L, false, 7_000L, true},
            {"short deadline, too early", 2_000L, false, 1_499L, false},
            {"short deadline", 2_000L, false, 1_500L, true},
        };
    }

    @Test(dataProvider = "times")
    public void waitsForMissingCountsWhileTheReportCanBeInTime(
            String name, long deadlineMs, boolean isComplete, long sinceEndMs, boolean expected) {
        UsageWindowClosing closing = new UsageWindowClosing(WINDOW_MS, deadlineMs);
        assertEquals(closing.isFinal(WINDOW, isComplete, END_MS + sinceEndMs), expected, name);
    }

    @Test
    public void reportsNoWindowAfterItsDeadline() {
        UsageWindowClosing closing = new UsageWindowClosing(WINDOW_MS, 10_000);
        assertTrue(closing.oldestWindow(END_MS + 9_999) <= WINDOW);
        assertEquals(closing.newestWindow(END_MS + 1_500), WINDOW);
        assertEquals(closing.newestWindow(END_MS + 1_499), WINDOW - 1);
    }

    @Test
    public void countsAreIncompleteUntilEachGatewayHasReportedAfterTheWindow() {
        ManualTimeSource time = new ManualTimeSource();
        GatewayReports reports = new GatewayReports(time, PRESENCE_TIMEOUT_MS);
        time.advanceMs(20_000);
        report(reports, "gone");
        time.advanceMs(PRESENCE_TIMEOUT_MS + 1);
        final long startMs = time.monotonicMs();
        report(reports, "a");
        report(reports, "b");
        time.advanceMs(WINDOW_MS);
        long endMs = time.monotonicMs();
        report(reports, "a");
        assertFalse(reports.haveAllReportedSince(startMs, endMs));
        report(reports, "b");
        assertTrue(reports.haveAllReportedSince(startMs, endMs));
    }

    private static void report(GatewayReports reports, String gateway) {
        reports.accept(new NodeId(gateway), ViewRequest.getDefaultInstance());
    }
}
