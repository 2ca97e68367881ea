package org.cardamomthread.membership.home;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointKind;
import org.cardamomthread.membership.endpoint.EndpointLoad;
import org.cardamomthread.membership.endpoint.EndpointState;
import org.cardamomthread.membership.endpoint.PriceClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when a node owns an endpoint, depending on the announcements it received. */
public class HomeOwnershipTests {

    private static final long INTERVAL_MS = 500;
    private static final HomeSettings SETTINGS = HomeSettings.defaults();
    private static final long EXPECTED_ACQUISITION_MS =
            SETTINGS.acquisitionWaitMs() + SETTINGS.maxCountSkewMs() + SETTINGS.maxFastestDelayMs();

    @DataProvider
    public Object[][] announcementSequences() {
        long excessiveDelayMs = SETTINGS.maxAnnouncementAgeMs() + 300;
        return new Object[][] {
            {"before the acquisition wait ends", 8, 0, 0L, false},
            {"after the acquisition wait", 13, 0, 0L, true},
            {"gap during the acquisition wait", 13, 5, 0L, false},
            {"gap while owned", 20, 18, 0L, true},
            {"late announcement during the acquisition wait", 13, 0, excessiveDelayMs, false},
        };
    }

    @Test(dataProvider = "announcementSequences")
    public void ownsEndpointAfterContiguousAnnouncements(
            String name, int count, int lostSequence, long delayMs, boolean owned) {
        EndpointLedger ledger = new EndpointLedger(1, SETTINGS);
        long nowMs = 0;
        for (int sequence = 1; sequence <= count; sequence++) {
            long madeMs = sequence * INTERVAL_MS;
            long delayReductionMs = (sequence - count / 2) * INTERVAL_MS;
            nowMs = madeMs + (delayReductionMs < 0 ? 0 : Math.max(0, delayMs - delayReductionMs));
            if (sequence != lostSequence) {
                ledger.onAnnouncement(announcement(sequence, madeMs), nowMs);
            }
        }
        assertEquals(
                ledger.mayGrant(nowMs),
                owned,
                "expected to be owned from " + EXPECTED_ACQUISITION_MS + " ms");
    }

    @DataProvider
    public Object[][] delays() {
        long maxDelayMs = SETTINGS.maxAnnouncementAgeMs();
        return new Object[][] {{0L, true}, {maxDelayMs, true}, {maxDelayMs + 1, false}};
    }

    @Test(dataProvider = "delays")
    public void lateAnnouncementDoesNotExtendOwnership(long delayMs, boolean extended) {
        EndpointLedger ledger = new EndpointLedger(1, SETTINGS);
        int count = 20;
        for (int sequence = 1; sequence <= count; sequence++) {
            ledger.onAnnouncement(
                    announcement(sequence, sequence * INTERVAL_MS), sequence * INTERVAL_MS);
        }
        long lastMs = count * INTERVAL_MS;
        long madeMs = lastMs + 100;
        ledger.onAnnouncement(announcement(count + 1, madeMs), madeMs + delayMs);
        long validUntilMs = lastMs + SETTINGS.announcementValidityMs();
        assertEquals(ledger.mayGrant(validUntilMs + 1), extended);
    }

    private static EndpointAnnouncement announcement(long sequence, long madeMs) {
        return new EndpointAnnouncement(
                new EndpointId("runner-1"),
                1,
                sequence,
                new DataCentreId("perth-a"),
                new EndpointDescription(
                        "127.0.0.1:9101",
                        EndpointKind.MODEL,
                        new EndpointClassId("gpu-small"),
                        PriceClass.RECLAIMABLE,
                        List.of(),
                        Set.of(),
                        EndpointState.READY),
                new EndpointLoad(1_733_299_200_000L + madeMs, 0, 0, 8, 0, 0, 0),
                List.of());
    }
}
