package org.cardamomthread.replication.consensus;

import org.cardamomthread.replication.ReplicaMember;

/**
 * Holds what a leader knows of one other member.
 *
 * <p>Invariants: the match index never decreases; the next index is above it. Used by one thread at
 * a time.
 */
final class MemberProgress {

    /** Earlier than any time of a message, without overflow in differences. */
    static final long NEVER_MS = Long.MIN_VALUE / 4;

    private final ReplicaMember member;
    private Mode mode = Mode.PROBE;
    private long nextIndex;
    private long matchIndex;
    private long acknowledgedSentAtMs = NEVER_MS;
    private long lastSentMs = NEVER_MS;
    private boolean isAwaitingResponse;
    private long snapshotIndex;
    private long snapshotOffset;

    /** States how entries are sent. */
    enum Mode {
        /** One message at a time, until the logs match. */
        PROBE,
        /** Without waiting for answers. */
        REPLICATE,
        /** By parts of the snapshot. */
        SNAPSHOT
    }

    MemberProgress(ReplicaMember member, long nextIndex) {
        this.member = member;
        this.nextIndex = nextIndex;
    }

    ReplicaMember member() {
        return member;
    }

    Mode mode() {
        return mode;
    }

    long nextIndex() {
        return nextIndex;
    }

    long matchIndex() {
        return matchIndex;
    }

    /** Returns the index after which the member will need entries. */
    long retainAfterIndex() {
        return mode == Mode.SNAPSHOT ? snapshotIndex : matchIndex;
    }

    long acknowledgedSentAtMs() {
        return acknowledgedSentAtMs;
    }

    long lastSentMs() {
        return lastSentMs;
    }

    boolean isAwaitingResponse() {
        return isAwaitingResponse;
    }

    long snapshotIndex() {
        return snapshotIndex;
    }

    long snapshotOffset() {
        return snapshotOffset;
    }

    void recordResponse(long sentAtMs) {
        acknowledgedSentAtMs = Math.max(acknowledgedSentAtMs, sentAtMs);
    }

    void recordSend(long nowMs) {
        lastSentMs = nowMs;
        isAwaitingResponse = mode != Mode.REPLICATE;
    }

    void clearAwaitingResponse() {
        isAwaitingResponse = false;
    }

    void advanceNextIndex(long index) {
        nextIndex = Math.max(nextIndex, index);
    }

    void recordMatch(long index) {
        if (mode == Mode.SNAPSHOT && index < snapshotIndex) {
            return;
        }
        matchIndex = Math.max(matchIndex, index);
        nextIndex = mode == Mode.REPLICATE ? Math.max(nextIndex, matchIndex + 1) : matchIndex + 1;
        mode = Mode.REPLICATE;
        isAwaitingResponse = false;
    }

    void recordMismatch(long hintIndex) {
        if (mode == Mode.SNAPSHOT) {
            return;
        }
        mode = Mode.PROBE;
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex, hintIndex + 1));
        isAwaitingResponse = false;
    }

    void startSnapshot(long index) {
        mode = Mode.SNAPSHOT;
        snapshotIndex = index;
        snapshotOffset = 0;
        isAwaitingResponse = false;
    }

    void recordSnapshotOffset(long nextOffset) {
        snapshotOffset = nextOffset;
        isAwaitingResponse = false;
    }
}
