package org.cardamomthread.membership.node;

import com.dynatrace.hash4j.hashing.Hashing;
import org.cardamomthread.core.id.NodeId;

/**
 * Summarizes the state of a node for gossip messages.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the 64-bit hash of the node's id
 * @param incarnation the run of the node process
 * @param heartbeat the heartbeat counter within the incarnation
 * @param entrySequence the sequence number of its current entry
 * @param revision the active configuration revision of the node
 * @param drainDigest the hash of its drain records
 */
record NodeDigest(
        long key,
        long incarnation,
        long heartbeat,
        int entrySequence,
        long revision,
        int drainDigest) {

    static long keyOf(NodeId id) {
        return Hashing.xxh3_64().hashCharsToLong(id.value());
    }
}
