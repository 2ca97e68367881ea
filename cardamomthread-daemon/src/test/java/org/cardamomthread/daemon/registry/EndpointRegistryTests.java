package org.cardamomthread.daemon.registry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link EndpointRegistry}. */
public class EndpointRegistryTests {

    private static final String ADDRESS = "10.1.0.9:8080";

    private ManualTimeSource time;
    private EndpointRegistry registry;

    @BeforeMethod
    public void createRegistry() {
        time = new ManualTimeSource();
        registry = new EndpointRegistry(time);
    }

    @Test
    public void ignoresOutdatedReport() {
        registry.accept(report("a", 1, 5, ADDRESS, true));
        assertTrue(registry.accept(report("a", 1, 4, ADDRESS, false)).isEmpty());
        assertTrue(registry.listPresent().iterator().next().report().isDraining());
    }

    @Test
    public void keepsEndpointDrainingUntilRestart() {
        registry.accept(report("a", 1, 5, ADDRESS, true));
        registry.accept(report("a", 1, 6, ADDRESS, false));
        assertTrue(registry.listPresent().iterator().next().report().isDraining());
        registry.accept(report("a", 2, 1, ADDRESS, false));
        assertFalse(registry.listPresent().iterator().next().report().isDraining());
    }

    @Test
    public void lateReportDoesNotRestoreRemovedEndpoint() {
        registry.accept(report("a", 1, 5, ADDRESS, false));
        registry.remove(new EndpointId("a"), 0);
        assertTrue(registry.accept(report("a", 1, 9, ADDRESS, false)).isEmpty());
        assertTrue(registry.listPresent().isEmpty());
        registry.accept(report("a", 2, 1, ADDRESS, false));
        assertEquals(registry.listPresent().size(), 1);
    }

    @DataProvider
    public Object[][] removalsBeforeReport() {
        return new Object[][] {{"with a start time", 1_000L}, {"without a start time", 0L}};
    }

    /** A report may be delayed by seconds and arrive after the removal of the same incarnation. */
    @Test(dataProvider = "removalsBeforeReport")
    public void ignoresReportThatArrivesAfterRemoval(String name, long startTimeMs) {
        time.advanceMs(10_000);
        registry.remove(new EndpointId("a"), startTimeMs);
        assertTrue(registry.accept(report("a", 1_000, 1, ADDRESS, false)).isEmpty(), name);
        assertTrue(registry.listPresent().isEmpty(), name);
        long laterStartMs = time.millis() + 1;
        assertTrue(registry.accept(report("a", laterStartMs, 1, ADDRESS, false)).isPresent(), name);
    }

    @Test
    public void ignoresLateReportOfRemovedRestart() {
        registry.accept(report("a", 1_000, 7, ADDRESS, false));
        registry.remove(new EndpointId("a"), 2_000);
        assertTrue(registry.accept(report("a", 2_000, 1, ADDRESS, false)).isEmpty());
        assertTrue(registry.listPresent().isEmpty());
    }

    @Test
    public void ignoresRemovalOfEarlierStart() {
        registry.accept(report("a", 2, 1, ADDRESS, false));
        assertTrue(registry.remove(new EndpointId("a"), 1).isEmpty());
        assertEquals(registry.listPresent().size(), 1);
    }

    @Test
    public void assignsAddressToMostRecentlyStartedEndpoint() {
        registry.accept(report("a", 1, 1, ADDRESS, false));
        registry.accept(report("b", 2, 1, ADDRESS, false));
        assertTrue(registry.accept(report("a", 1, 2, ADDRESS, false)).isEmpty());
        assertEquals(registry.listPresent().size(), 1);
        assertEquals(registry.listPresent().iterator().next().report().id(), new EndpointId("b"));
    }

    @Test
    public void excludesTimedOutEndpointUntilNextReport() {
        registry.accept(report("a", 1, 1, ADDRESS, false));
        long revision = registry.revision();
        time.advanceMs(EndpointRegistry.REPORT_TIMEOUT_MS + 1);
        registry.expire();
        assertTrue(registry.listPresent().isEmpty());
        assertEquals(registry.listChangedSince(revision).size(), 1);
        registry.expire();
        assertEquals(registry.revision(), revision + 1, "a timeout counts as one change");
        registry.accept(report("a", 1, 2, ADDRESS, false));
        assertEquals(registry.listPresent().size(), 1);
    }

    @Test
    public void unchangedReportDoesNotAdvanceRevision() {
        registry.accept(report("a", 1, 1, ADDRESS, false));
        long revision = registry.revision();
        time.advanceMs(1_200);
        registry.accept(report("a", 1, 2, ADDRESS, false));
        assertEquals(registry.revision(), revision);
    }

    @Test
    public void dropsRemovedEndpointAfterRetentionPeriod() {
        registry.accept(report("a", 1, 1, ADDRESS, false));
        registry.remove(new EndpointId("a"), 0);
        time.advanceMs(EndpointRegistry.RETENTION_MS + 1);
        registry.expire();
        assertTrue(registry.listChangedSince(0).isEmpty());
    }

    @DataProvider
    public Object[][] idsAndAddresses() {
        return new Object[][] {{"other id", "b", ADDRESS}, {"same id", "a", "10.1.0.10:8080"}};
    }

    @Test(dataProvider = "idsAndAddresses")
    public void keepsEndpointWhenReportClaimsToHaveStartedFarAhead(
            String name, String id, String address) {
        time.advanceMs(10_000);
        registry.accept(report("a", 9_000, 1, ADDRESS, false));
        long aheadMs = time.millis() + EndpointRegistry.MAX_START_AHEAD_MS + 1;
        assertTrue(registry.accept(report(id, aheadMs, 1, address, false)).isEmpty(), name);
        assertTrue(registry.remove(new EndpointId("a"), aheadMs).isEmpty(), name);
        assertTrue(registry.accept(report("a", 9_000, 2, ADDRESS, false)).isPresent(), name);
        assertEquals(registry.listPresent().size(), 1, name);
        assertTrue(
                registry.accept(report("a", time.millis() + 1_000, 1, ADDRESS, false)).isPresent(),
                name);
    }

    private static EndpointReport report(
            String id, long startTimeMs, long sequence, String address, boolean isDraining) {
        return new EndpointReport(
                new EndpointId(id),
                startTimeMs,
                sequence,
                new ServiceId("chat"),
                NetworkAddress.parse(address),
                new DataCentreId("perth-a"),
                new VersionId("v1"),
                8,
                isDraining,
                0,
                false);
    }
}
