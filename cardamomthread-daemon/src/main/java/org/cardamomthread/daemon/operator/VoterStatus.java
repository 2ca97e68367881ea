package org.cardamomthread.daemon.operator;

import org.cardamomthread.core.id.NodeId;

/**
 * The status of a member of a replication group, as shown to operators.
 *
 * <p>Immutable and thread-safe.
 *
 * @param group the group
 * @param id the member's node
 * @param role {@code leader}, {@code follower} or {@code learner}
 * @param reachable true if the node is considered alive
 * @param index the last log index stored on the answering node, or -1 for other nodes
 */
public record VoterStatus(String group, NodeId id, String role, boolean reachable, long index) {}
