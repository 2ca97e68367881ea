package org.cardamomthread.membership.node;

/**
 * Shows what this node knows of a node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param entry the newest entry
 * @param state liveness as seen from here
 * @param revisionInForce the configuration revision the node last reported, zero if none
 * @param silentMs milliseconds since its heartbeat last advanced, on the local monotonic clock
 */
public record NodeView(NodeEntry entry, NodeState state, long revisionInForce, long silentMs) {}
