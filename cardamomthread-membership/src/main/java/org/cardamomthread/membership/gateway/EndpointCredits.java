package org.cardamomthread.membership.gateway;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointLoad;

/**
 * Holds a gateway's credits and request counts for one endpoint.
 *
 * <p>Invariants: {@code finished <= started}, and neither decreases; a request starts only while
 * the lease is valid and fewer than {@code limit} requests are in flight. Not thread-safe; the pool
 * synchronizes access.
 */
final class EndpointCredits {

    private static final int MIN_HEADROOM_CREDITS = 1;

    private final EndpointId endpoint;
    private DataCentreId dataCentre;
    private EndpointDescription description;
    private EndpointLoad load;
    private long loadReceivedMs;
    private long incarnation;
    private NodeId home;
    private int limit;
    private long leaseEndMs;
    private long started;
    private long finished;
    private long startedAtLastLoad;
    private long startedAtLastDemand;
    private int refusedSinceDemand;
    private int waiting;

    /**
     * Creates an instance without credits.
     *
     * @param initialCount the initial value of the cumulative counts, which must not be below the
     *     counts of a removed instance for the same endpoint
     */
    EndpointCredits(EndpointId endpoint, long initialCount) {
        this.endpoint = endpoint;
        this.started = initialCount;
        this.finished = initialCount;
        this.startedAtLastLoad = initialCount;
        this.startedAtLastDemand = initialCount;
    }

    void updateDescription(DataCentreId newDataCentre, EndpointDescription newDescription) {
        dataCentre = newDataCentre;
        description = newDescription;
    }

    void updateLoad(EndpointLoad newLoad, long nowMs) {
        load = newLoad;
        loadReceivedMs = nowMs;
        startedAtLastLoad = started;
    }

    /**
     * Replaces the credits, unless a grant without credits would replace unexpired credits of
     * another home.
     */
    void applyGrant(
            NodeId from, long newIncarnation, int newLimit, long newLeaseEndMs, long nowMs) {
        boolean heldFromOther = home != null && !home.equals(from) && isLeased(nowMs) && limit > 0;
        if (heldFromOther && newLimit == 0) {
            return;
        }
        home = from;
        incarnation = newIncarnation;
        limit = newLimit;
        leaseEndMs = newLeaseEndMs;
    }

    /** Counts a request as started if an unused credit is left, and as refused otherwise. */
    boolean tryStart(long nowMs) {
        if (!isLeased(nowMs) || inFlight() >= limit) {
            countRefusal();
            return false;
        }
        started++;
        return true;
    }

    /** Counts a request that could have started with a further credit. */
    void countRefusal() {
        refusedSinceDemand++;
    }

    void finish() {
        finished++;
    }

    /** Discards the unused credits. */
    void discard() {
        limit = 0;
    }

    /** Discards the unused credits if the given home granted them. */
    void discard(NodeId from) {
        if (from.equals(home)) {
            limit = 0;
        }
    }

    void setWaiting(int newWaiting) {
        waiting = newWaiting;
    }

    /** Returns whether requests were refused since the last demand or are waiting. */
    boolean hasUnmetDemand() {
        return refusedSinceDemand > 0 || waiting > 0;
    }

    int waiting() {
        return Math.max(waiting, refusedSinceDemand);
    }

    /**
     * Returns the spare credits to ask for: one more than the requests started since the last
     * demand.
     */
    int headroom() {
        return MIN_HEADROOM_CREDITS + (int) (started - startedAtLastDemand);
    }

    void onDemandSent() {
        startedAtLastDemand = started;
        refusedSinceDemand = 0;
    }

    boolean isLeased(long nowMs) {
        return nowMs < leaseEndMs;
    }

    boolean isDescribed() {
        return description != null && load != null;
    }

    EndpointSnapshot snapshot(long nowMs) {
        return new EndpointSnapshot(
                endpoint,
                dataCentre,
                home,
                incarnation,
                description,
                load,
                loadReceivedMs,
                (int) (started - startedAtLastLoad),
                isLeased(nowMs) ? limit : 0,
                inFlight(),
                Math.max(0, leaseEndMs - nowMs));
    }

    int inFlight() {
        return (int) (started - finished);
    }

    EndpointId endpoint() {
        return endpoint;
    }

    NodeId home() {
        return home;
    }

    long incarnation() {
        return incarnation;
    }

    long leaseEndMs() {
        return leaseEndMs;
    }

    long loadReceivedMs() {
        return loadReceivedMs;
    }

    long started() {
        return started;
    }

    long finished() {
        return finished;
    }
}
