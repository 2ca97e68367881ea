package org.cardamomthread.membership.node;

import com.dynatrace.hash4j.hashing.Hashing;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the short form of a node's progress that heartbeats carry.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param key the 64-bit hash of the node's id
 * @param incarnation the node's incarnation
 * @param heartbeat its heartbeat within the incarnation
 * @param entrySequence the sequence of its entry
 * @param revision the configuration revision in force there
 * @param drainDigest the digest of its drain records
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
