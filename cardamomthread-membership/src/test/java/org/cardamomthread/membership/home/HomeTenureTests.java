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

/** Tests when a node may grant credits, by the announcements it received. */
public class HomeTenureTests {

    private static final long INTERVAL_MS = 500;
    private static final HomeSettings SETTINGS = HomeSettings.defaults();
    private static final long HELD_FROM_MS =
            SETTINGS.acquisitionMs() + SETTINGS.settleMs() + SETTINGS.fastestDelayMs();

    @DataProvider
    public Object[][] receipts() {
        long late = SETTINGS.announcementDelayMs() + 300;
        return new Object[][] {
            {"before the wait ends", 8, 0, 0L, false},
            {"after the wait", 13, 0, 0L, true},
            {"a gap while waiting", 13, 5, 0L, false},
            {"a gap while held", 20, 18, 0L, true},
            {"a late one while waiting", 13, 0, late, false},
        };
    }

    @Test(dataProvider = "receipts")
    public void holdsAfterAnUnbrokenRun(
            String name, int count, int lost, long delayMs, boolean held) {
        EndpointLedger ledger = new EndpointLedger(1, SETTINGS);
        long nowMs = 0;
        for (int sequence = 1; sequence <= count; sequence++) {
            long madeMs = sequence * INTERVAL_MS;
            long caughtUpMs = (sequence - count / 2) * INTERVAL_MS;
            nowMs = madeMs + (caughtUpMs < 0 ? 0 : Math.max(0, delayMs - caughtUpMs));
            if (sequence != lost) {
                ledger.announce(announcement(sequence, madeMs), nowMs);
            }
        }
        assertEquals(ledger.isHeld(nowMs), held, "held from " + HELD_FROM_MS + " ms");
    }

    @DataProvider
    public Object[][] delays() {
        long allowed = SETTINGS.announcementDelayMs();
        return new Object[][] {{0L, true}, {allowed, true}, {allowed + 1, false}};
    }

    @Test(dataProvider = "delays")
    public void lateAnnouncementDoesNotExtendTheTenure(long delayMs, boolean extended) {
        EndpointLedger ledger = new EndpointLedger(1, SETTINGS);
        int count = 20;
        for (int sequence = 1; sequence <= count; sequence++) {
            ledger.announce(announcement(sequence, sequence * INTERVAL_MS), sequence * INTERVAL_MS);
        }
        long lastMs = count * INTERVAL_MS;
        long madeMs = lastMs + 100;
        ledger.announce(announcement(count + 1, madeMs), madeMs + delayMs);
        long validMs = lastMs + SETTINGS.announcementValidityMs();
        assertEquals(ledger.isHeld(validMs + 1), extended);
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
