package org.cardamomthread.daemon.duty;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.dialect.ControllerLeaseHolder;
import org.cardamomthread.daemon.testing.FakeReplicationGroup;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ControllerLease}. */
public class ControllerLeaseTests {

    private static final long LEASE_MS = 3_000;

    private ManualTimeSource time;
    private FakeReplicationGroup group;
    private ControllerLease lease;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        group = new FakeReplicationGroup();
        lease = new ControllerLease(() -> Optional.of(group), time, "core-1", LEASE_MS);
    }

    @DataProvider
    public Object[][] terms() {
        return new Object[][] {
            {"first term", 2, LEASE_MS},
            {"after many leader changes", 40, LEASE_MS},
        };
    }

    @Test(dataProvider = "terms")
    public void waitsForFormerHolderToStop(String name, long term, long waitMs) {
        group.becomeLeader(term);
        Optional<ControllerLeaseHolder> holder =
                Optional.of(new ControllerLeaseHolder("core-1", term));
        assertEquals(lease.currentHolder(), Optional.empty(), name);
        time.advanceMs(waitMs - 1);
        assertEquals(lease.currentHolder(), Optional.empty(), name);
        time.advanceMs(1);
        assertEquals(lease.currentHolder(), holder, name);
    }

    @Test
    public void isNotHeldWithoutLogLease() {
        group.becomeLeader(2);
        lease.currentHolder();
        group.expireLease();
        assertEquals(lease.currentHolder(), Optional.empty());
    }

    /** Another node may have been the leader, and run the controllers, between the two terms. */
    @Test
    public void waitsAgainAfterTermChange() {
        group.becomeLeader(5);
        lease.currentHolder();
        time.advanceMs(LEASE_MS);
        assertEquals(lease.currentHolder().isPresent(), true);
        group.becomeLeader(7);
        assertEquals(lease.currentHolder(), Optional.empty());
    }
}
