package org.cardamomthread.daemon.duty;

import java.util.Optional;
import java.util.function.Supplier;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.DutyHolder;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.ReplicationStatus;

/**
 * Tells whether this node may perform the duties.
 *
 * <p>Invariant: the holder leads the log and holds its lease, and took the lead at least the
 * duties' lease ago, so that a former holder has stopped. The log's term is the fencing number.
 * Used by one thread at a time.
 */
public final class ControllerLease {

    private final Supplier<Optional<ReplicationGroup>> group;
    private final TimeSource timeSource;
    private final String nodeName;
    private final long leaseMs;
    private long term = -1;
    private long sinceMs;

    /**
     * Creates a lease that is not held.
     *
     * @param group this node's replica, if it has one
     * @param timeSource the clock, which counts the time for which the host was suspended
     * @param nodeName this node's name on the platform
     * @param leaseMs how long a former holder may still act, in milliseconds
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
     * Returns the holder that this node may act as right now.
     *
     * @return the holder, or empty if this node must not act
     */
    public Optional<DutyHolder> current() {
        Optional<ReplicationStatus> status = group.get().map(ReplicationGroup::status);
        boolean isLeader = status.filter(ReplicationStatus::isLeaseHeld).isPresent();
        if (!isLeader) {
            term = -1;
            return Optional.empty();
        }
        if (status.get().term() != term) {
            term = status.get().term();
            sinceMs = timeSource.monotonicMs();
        }
        boolean hasWaited = timeSource.monotonicMs() - sinceMs >= leaseMs;
        return hasWaited ? Optional.of(new DutyHolder(nodeName, term)) : Optional.empty();
    }
}
