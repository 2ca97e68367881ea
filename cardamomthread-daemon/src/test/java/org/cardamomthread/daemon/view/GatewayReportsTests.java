package org.cardamomthread.daemon.view;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.cardamomthread.configuration.traffic.generated.UsageWindow;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how {@link GatewayReports} adds up the counts of gateways that are restarted. */
public class GatewayReportsTests {

    private static final NodeId GATEWAY = new NodeId("gateway");
    private static final long WINDOW = 100;

    private GatewayReports reports;

    @BeforeMethod
    public void create() {
        reports = new GatewayReports(new ManualTimeSource(), 5_000);
    }

    @DataProvider
    public Object[][] reportSequences() {
        return new Object[][] {
            {"one process", new long[][] {{1, 3}, {1, 5}}, 5L},
            {"restarted", new long[][] {{1, 5}, {2, 2}, {2, 4}}, 9L},
            {"restarted twice", new long[][] {{1, 5}, {2, 2}, {3, 1}}, 8L},
            {"late report of the former process", new long[][] {{1, 5}, {2, 2}, {1, 4}}, 7L},
        };
    }

    @Test(dataProvider = "reportSequences")
    public void addsCountsOfAllProcessesOfAGateway(
            String name, long[][] incarnationsAndCounts, long expected) {
        for (long[] report : incarnationsAndCounts) {
            reports.accept(GATEWAY, report(report[0], WINDOW, report[1]));
        }
        assertEquals(reports.sumUsage(WINDOW), Map.of("bars", expected), name);
    }

    @Test
    public void dropsCountsOfFormerProcessesWithTheirWindows() {
        reports.accept(GATEWAY, report(1, WINDOW, 5));
        reports.accept(GATEWAY, report(2, WINDOW + 50, 1));
        assertEquals(reports.sumUsage(WINDOW), Map.of());
    }

    private static ViewRequest report(long incarnation, long window, long count) {
        return ViewRequest.newBuilder()
                .setIncarnation(incarnation)
                .addWindows(UsageWindow.newBuilder().setWindow(window).putCounts("bars", count))
                .build();
    }
}
