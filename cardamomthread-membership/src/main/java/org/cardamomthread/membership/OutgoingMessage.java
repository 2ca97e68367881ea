package org.cardamomthread.membership;

import java.util.Objects;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.generated.PeerMessage;

/**
 * Pairs a message with the node to send it to. Delivery is best effort.
 *
 * <p>Immutable and thread-safe.
 *
 * @param to the id of the receiving node, which may be the sending node itself
 * @param message the payload to send
 */
public record OutgoingMessage(NodeId to, PeerMessage message) {

    /** Rejects null components. */
    public OutgoingMessage {
        Objects.requireNonNull(to, "to must not be null");
        Objects.requireNonNull(message, "message must not be null");
    }
}
