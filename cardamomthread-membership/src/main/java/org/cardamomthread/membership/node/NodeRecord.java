package org.cardamomthread.membership.node;

/**
 * Holds the latest known state of one other node.
 *
 * <p>Invariant: the pair (incarnation, heartbeat) never decreases. Not thread-safe; the directory
 * synchronizes access.
 */
final class NodeRecord {

    private final long key;
    private NodeEntry entry;
    private long incarnation;
    private long heartbeat;
    private int entrySequence;
    private long revision;
    private int drainDigest;
    private long lastHeardMs;

    NodeRecord(long key, NodeEntry entry, long nowMs) {
        this.key = key;
        this.entry = entry;
        this.incarnation = entry.incarnation();
        this.entrySequence = entry.entrySequence();
        this.lastHeardMs = nowMs;
    }

    /**
     * Applies a digest of the node if it is newer than the known state.
     *
     * @return true if the digest was newer
     */
    boolean applyDigest(NodeDigest newDigest, long nowMs) {
        boolean newer =
                newDigest.incarnation() > incarnation
                        || newDigest.incarnation() == incarnation
                                && newDigest.heartbeat() > heartbeat;
        if (!newer) {
            return false;
        }
        incarnation = newDigest.incarnation();
        heartbeat = newDigest.heartbeat();
        entrySequence = newDigest.entrySequence();
        revision = newDigest.revision();
        drainDigest = newDigest.drainDigest();
        lastHeardMs = nowMs;
        return true;
    }

    void replaceEntry(NodeEntry newEntry, long nowMs) {
        if (newEntry.incarnation() > incarnation) {
            incarnation = newEntry.incarnation();
            heartbeat = 0;
            lastHeardMs = nowMs;
        }
        entry = newEntry;
    }

    /** Returns whether a digest announced a newer entry than the one held. */
    boolean hasStaleEntry() {
        return entry.incarnation() < incarnation
                || entry.incarnation() == incarnation && entry.entrySequence() < entrySequence;
    }

    boolean hasBeenHeardFrom() {
        return incarnation > 0;
    }

    NodeDigest digest() {
        return new NodeDigest(key, incarnation, heartbeat, entrySequence, revision, drainDigest);
    }

    long key() {
        return key;
    }

    NodeEntry entry() {
        return entry;
    }

    long incarnation() {
        return incarnation;
    }

    long revision() {
        return revision;
    }

    long lastHeardMs() {
        return lastHeardMs;
    }
}
