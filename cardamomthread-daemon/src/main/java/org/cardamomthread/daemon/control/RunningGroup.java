package org.cardamomthread.daemon.control;

import org.cardamomthread.replication.ReplicationGroup;

/**
 * Pairs this node's replica of a group with its query handler. Immutable.
 *
 * @param group this node's replica
 * @param queryHandler answers queries from the replica's state
 */
record RunningGroup(ReplicationGroup group, GroupQueryHandler queryHandler) {}
