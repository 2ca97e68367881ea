package org.cardamomthread.daemon.testing;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.VoterId;

/** A replication group without other members whose leadership the test controls. */
public final class FakeReplicationGroup implements ReplicationGroup {

    private static final long LEASE_MS = 1_000;

    private long term = 2;
    private boolean isLeaseHeld = true;

    /** Makes this replica the leader in a term, with a valid lease. */
    public void becomeLeader(long newTerm) {
        term = newTerm;
        isLeaseHeld = true;
    }

    /** Expires the leader lease. */
    public void expireLease() {
        isLeaseHeld = false;
    }

    @Override
    public void start() {}

    @Override
    public void receive(NodeId from, byte[] message) {}

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Long> readBarrier() {
        return CompletableFuture.completedFuture(1L);
    }

    @Override
    public void setContacts(List<NodeId> nodes) {}

    @Override
    public ReplicationStatus status() {
        return new ReplicationStatus(
                new GroupId("traffic"),
                new NodeId("leader"),
                new VoterId("leader"),
                ReplicaRole.LEADER,
                term,
                Optional.empty(),
                isLeaseHeld ? LEASE_MS : 0,
                1,
                1,
                1,
                0,
                List.of(),
                Optional.empty());
    }

    @Override
    public CompletableFuture<Void> addLearner(VoterId voterId, NodeId nodeId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> promote(VoterId voterId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> remove(VoterId voterId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void close() {}
}
