package org.cardamomthread.membership.node;

/**
 * Holds what is known of one other node.
 *
 * <p>Invariant: (incarnation, heartbeat) never decreases. Not safe for use by several threads; its
 * table guards it.
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
     * Takes a report of the node's progress.
     *
     * @return true if it is newer than what was known
     */
    boolean advance(NodeDigest report, long nowMs) {
        boolean newer =
                report.incarnation() > incarnation
                        || report.incarnation() == incarnation && report.heartbeat() > heartbeat;
        if (!newer) {
            return false;
        }
        incarnation = report.incarnation();
        heartbeat = report.heartbeat();
        entrySequence = report.entrySequence();
        revision = report.revision();
        drainDigest = report.drainDigest();
        lastHeardMs = nowMs;
        return true;
    }

    void replaceEntry(NodeEntry newer, long nowMs) {
        if (newer.incarnation() > incarnation) {
            incarnation = newer.incarnation();
            heartbeat = 0;
            lastHeardMs = nowMs;
        }
        entry = newer;
    }

    boolean hasStaleEntry() {
        return entry.incarnation() < incarnation
                || entry.incarnation() == incarnation && entry.entrySequence() < entrySequence;
    }

    boolean wasHeard() {
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
