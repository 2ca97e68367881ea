package org.cardamomthread.replication.consensus;

import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.generated.Envelope;

/**
 * Holds a message and the node that receives it. Immutable.
 *
 * @param to the node that receives the message
 * @param message the message, including sender and receiver identities
 */
public record OutgoingReplicaMessage(NodeId to, Envelope message) {}
