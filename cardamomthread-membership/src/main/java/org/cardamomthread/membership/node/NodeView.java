package org.cardamomthread.membership.node;

/**
 * Represents a snapshot of what this node knows of another node.
 *
 * <p>Immutable and thread-safe.
 *
 * @param entry the newest known entry
 * @param state the liveness observed by this node
 * @param activeRevision the configuration revision that the node last reported, or zero if none
 * @param silentMs the milliseconds since its heartbeat last advanced, on the local monotonic clock
 */
public record NodeView(NodeEntry entry, NodeState state, long activeRevision, long silentMs) {}
