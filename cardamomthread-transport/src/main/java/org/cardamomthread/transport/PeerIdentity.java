package org.cardamomthread.transport;

import org.cardamomthread.core.id.NodeId;

/**
 * Names a process of a node.
 *
 * @param node the node
 * @param incarnation rises with each start of the node
 */
record PeerIdentity(NodeId node, long incarnation) {}
