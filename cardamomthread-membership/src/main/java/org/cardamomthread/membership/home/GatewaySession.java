package org.cardamomthread.membership.home;

import java.util.TreeMap;

/**
 * Follows the demands of one run of a gateway process.
 *
 * <p>Invariant: the demand sequence only rises; a demand that comes late or twice is not answered.
 * Not safe for use by several threads; the ledger guards it.
 */
final class GatewaySession {

    private final long incarnation;
    private final TreeMap<Long, Long> grantedMs = new TreeMap<>();
    private long sequence;
    private long lastDemandMs;

    GatewaySession(long incarnation) {
        this.incarnation = incarnation;
    }

    boolean accept(long newSequence, long nowMs) {
        if (newSequence <= sequence) {
            return false;
        }
        sequence = newSequence;
        lastDemandMs = nowMs;
        return true;
    }

    void granted(long demandSequence, long nowMs) {
        grantedMs.put(demandSequence, nowMs);
    }

    /** Returns a time after which a demand was sent that names this grant as applied. */
    long sentAfterMs(long appliedSequence) {
        Long atMs = grantedMs.get(appliedSequence);
        return atMs == null ? Long.MIN_VALUE : atMs;
    }

    void close(long closedSequence) {
        grantedMs.headMap(closedSequence, true).clear();
    }

    long incarnation() {
        return incarnation;
    }

    long lastDemandMs() {
        return lastDemandMs;
    }
}
