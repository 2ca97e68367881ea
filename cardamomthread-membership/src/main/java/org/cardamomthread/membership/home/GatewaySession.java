package org.cardamomthread.membership.home;

import java.util.TreeMap;

/**
 * Tracks the demands of one incarnation of a gateway.
 *
 * <p>Invariant: the demand sequence only increases; late and duplicate demands are not answered.
 * Not thread-safe; the owning home synchronizes access.
 */
final class GatewaySession {

    private final long incarnation;

    /** The times of the open grants by the sequence of the demand that they answer. */
    private final TreeMap<Long, Long> grantTimesMs = new TreeMap<>();

    private long lastDemandSequence;
    private long lastDemandMs;

    GatewaySession(long incarnation) {
        this.incarnation = incarnation;
    }

    /** Records a demand and returns true, or returns false if it is late or a duplicate. */
    boolean acceptDemand(long newSequence, long nowMs) {
        if (newSequence <= lastDemandSequence) {
            return false;
        }
        lastDemandSequence = newSequence;
        lastDemandMs = nowMs;
        return true;
    }

    void recordGrant(long demandSequence, long nowMs) {
        grantTimesMs.put(demandSequence, nowMs);
    }

    /**
     * Returns the earliest time at which a demand may have been sent that names a grant as applied.
     *
     * @param appliedSequence the sequence of the demand that the grant answered
     * @return the time of the grant, or {@link Long#MIN_VALUE} if the grant is no longer open
     */
    long earliestSendMs(long appliedSequence) {
        Long grantTimeMs = grantTimesMs.get(appliedSequence);
        return grantTimeMs == null ? Long.MIN_VALUE : grantTimeMs;
    }

    void closeGrants(long closedSequence) {
        grantTimesMs.headMap(closedSequence, true).clear();
    }

    long incarnation() {
        return incarnation;
    }

    long lastDemandMs() {
        return lastDemandMs;
    }
}
