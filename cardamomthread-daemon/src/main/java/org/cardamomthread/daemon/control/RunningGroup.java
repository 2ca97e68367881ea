package org.cardamomthread.daemon.control;

import org.cardamomthread.replication.ReplicationGroup;

/**
 * Holds a group that runs on this node and its reads. Immutable.
 *
 * @param group the replica
 * @param queryHandler reads from its state
 */
record RunningGroup(ReplicationGroup group, GroupQueryHandler queryHandler) {}
