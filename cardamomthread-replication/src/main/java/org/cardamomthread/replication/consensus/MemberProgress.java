package org.cardamomthread.replication.consensus;

import org.cardamomthread.replication.ReplicaMember;

/**
 * Tracks how far one other member has replicated the leader's log.
 *
 * <p>Invariants: the match index never decreases; the next index is greater than the match index.
 * Not thread-safe.
 */
final class MemberProgress {

    /** Earlier than any send time; differences to valid times do not overflow. */
    static final long NEVER_MS = Long.MIN_VALUE / 4;

    private final ReplicaMember member;
    private final long trackedSinceMs;
    private Mode mode = Mode.PROBE;
    private long nextIndex;
    private long matchIndex;
    private long acknowledgedSentAtMs = NEVER_MS;
    private long lastSentMs = NEVER_MS;
    private boolean isAwaitingResponse;
    private long snapshotIndex;
    private long snapshotOffset;

    /** Determines how entries are sent to the member. */
    enum Mode {
        /** Sends one request at a time until the member's log is known to match. */
        PROBE,
        /** Pipelines requests without waiting for responses. */
        REPLICATE,
        /** Sends the snapshot in chunks because the log no longer holds the next entry. */
        SNAPSHOT
    }

    MemberProgress(ReplicaMember member, long nextIndex, long nowMs) {
        this.member = member;
        this.nextIndex = nextIndex;
        this.trackedSinceMs = nowMs;
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

    /** Returns the index after which the member still needs entries. */
    long retainAfterIndex() {
        return mode == Mode.SNAPSHOT ? snapshotIndex : matchIndex;
    }

    long acknowledgedSentAtMs() {
        return acknowledgedSentAtMs;
    }

    /** Returns since when the member has given no response that this leader could count. */
    long silentSinceMs() {
        return Math.max(trackedSinceMs, acknowledgedSentAtMs);
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

    void startSnapshotTransfer(long index) {
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
