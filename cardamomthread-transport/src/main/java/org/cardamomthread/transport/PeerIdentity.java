package org.cardamomthread.transport;

import org.cardamomthread.core.id.NodeId;

/**
 * Identifies a process of a node.
 *
 * @param node identifier of the node
 * @param incarnation number that increases with each start of the node
 */
record PeerIdentity(NodeId node, long incarnation) {}
