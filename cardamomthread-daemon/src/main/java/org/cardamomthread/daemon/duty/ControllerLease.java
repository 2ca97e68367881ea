package org.cardamomthread.daemon.duty;

import java.util.Optional;
import java.util.function.Supplier;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.ControllerLeaseHolder;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.ReplicationStatus;

/**
 * Determines whether this node may run the controllers.
 *
 * <p>Invariant: the holder is the leader of the replicated log, holds the log's lease, and became
 * leader at least the duration of the controller lease ago, so that a former holder has stopped.
 * The term of the log is the fencing token. Not thread-safe.
 */
public final class ControllerLease {

    private final Supplier<Optional<ReplicationGroup>> group;
    private final TimeSource timeSource;
    private final String nodeName;
    private final long leaseMs;
    private long term = -1;
    private long leaderSinceMs;

    /**
     * Creates a lease that is not held yet.
     *
     * @param group supplies this node's member of the replication group, empty if it has none
     * @param timeSource supplies monotonic time, including time for which the host was suspended
     * @param nodeName this node's name on the platform
     * @param leaseMs how long a former holder may continue to act, in milliseconds
     */
    public ControllerLease(
            Supplier<Optional<ReplicationGroup>> group,
            TimeSource timeSource,
            String nodeName,
            long leaseMs) {
        this.group = group;
        this.timeSource = timeSource;
        this.nodeName = nodeName;
        this.leaseMs = leaseMs;
    }

    /**
     * Returns the identity with which this node may act at this moment.
     *
     * @return the holder, or empty if this node must not act
     */
    public Optional<ControllerLeaseHolder> currentHolder() {
        Optional<ReplicationStatus> status = group.get().map(ReplicationGroup::status);
        boolean isLeader = status.filter(ReplicationStatus::isLeaseHeld).isPresent();
        if (!isLeader) {
            term = -1;
            return Optional.empty();
        }
        if (status.get().term() != term) {
            term = status.get().term();
            leaderSinceMs = timeSource.monotonicMs();
        }
        boolean hasWaited = timeSource.monotonicMs() - leaderSinceMs >= leaseMs;
        return hasWaited
                ? Optional.of(new ControllerLeaseHolder(nodeName, term))
                : Optional.empty();
    }
}
