package org.cardamomthread.daemon.operator;

import org.cardamomthread.core.id.NodeId;

/**
 * Describes a voter of a replicated group.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param group the group
 * @param id the node that votes
 * @param role leader, follower, candidate or learner
 * @param reachable true if it was heard of late
 * @param index the last position of the log known to be stored there
 */
public record VoterStatus(String group, NodeId id, String role, boolean reachable, long index) {}
