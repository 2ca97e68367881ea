package org.cardamomthread.replication.consensus;

import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.generated.Envelope;

/**
 * Holds a message and its receiver. Immutable.
 *
 * @param to the receiving node
 * @param message the message
 */
public record OutgoingMessage(NodeId to, Envelope message) {}
