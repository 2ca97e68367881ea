package org.cardamomthread.membership.gateway;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointLoad;

/**
 * Holds a gateway's credits and counts for one endpoint.
 *
 * <p>Invariants: {@code finished <= started}, both only rise; a request starts only while the lease
 * runs and fewer than {@code limit} are in flight. Not safe for use by several threads; the pool
 * guards it.
 */
final class EndpointSlot {

    private static final int MIN_HEADROOM = 1;

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
    private long startedAtLoad;
    private long startedAtDemand;
    private int refused;
    private int waiting;

    /**
     * Creates a slot without credits.
     *
     * @param firstCount where its counts begin; not below those of an earlier slot of the endpoint
     */
    EndpointSlot(EndpointId endpoint, long firstCount) {
        this.endpoint = endpoint;
        this.started = firstCount;
        this.finished = firstCount;
        this.startedAtLoad = firstCount;
        this.startedAtDemand = firstCount;
    }

    void describe(DataCentreId newDataCentre, EndpointDescription newDescription) {
        dataCentre = newDataCentre;
        description = newDescription;
    }

    void updateLoad(EndpointLoad newLoad, long nowMs) {
        load = newLoad;
        loadReceivedMs = nowMs;
        startedAtLoad = started;
    }

    /** Replaces the credits; a home without any does not displace another whose lease runs. */
    void grant(NodeId from, long newIncarnation, int newLimit, long newLeaseEndMs, long nowMs) {
        boolean other = home != null && !home.equals(from) && isLeased(nowMs) && limit > 0;
        if (other && newLimit == 0) {
            return;
        }
        home = from;
        incarnation = newIncarnation;
        limit = newLimit;
        leaseEndMs = newLeaseEndMs;
    }

    boolean tryStart(long nowMs) {
        if (!isLeased(nowMs) || inFlight() >= limit) {
            refuse();
            return false;
        }
        started++;
        return true;
    }

    /** Counts a request that would have started. */
    void refuse() {
        refused++;
    }

    void finish() {
        finished++;
    }

    void drop() {
        limit = 0;
    }

    void drop(NodeId from) {
        if (from.equals(home)) {
            limit = 0;
        }
    }

    void setWaiting(int newWaiting) {
        waiting = newWaiting;
    }

    boolean isStarved() {
        return refused > 0 || waiting > 0;
    }

    int waiting() {
        return Math.max(waiting, refused);
    }

    /** Returns spare credits to ask for: as many as were started since the last demand, and one. */
    int headroom() {
        return MIN_HEADROOM + (int) (started - startedAtDemand);
    }

    void demanded() {
        startedAtDemand = started;
        refused = 0;
    }

    boolean isLeased(long nowMs) {
        return nowMs < leaseEndMs;
    }

    boolean isDescribed() {
        return description != null && load != null;
    }

    AvailableEndpoint view(long nowMs) {
        return new AvailableEndpoint(
                endpoint,
                dataCentre,
                home,
                incarnation,
                description,
                load,
                loadReceivedMs,
                (int) (started - startedAtLoad),
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
