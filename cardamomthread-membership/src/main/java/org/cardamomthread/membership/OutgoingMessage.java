package org.cardamomthread.membership;

import java.util.Objects;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.generated.PeerMessage;

/**
 * Holds a message and the node it is for; delivery is best effort.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param to the receiver
 * @param message the message
 */
public record OutgoingMessage(NodeId to, PeerMessage message) {

    /** Checks that both parts are present. */
    public OutgoingMessage {
        Objects.requireNonNull(to, "to must not be null");
        Objects.requireNonNull(message, "message must not be null");
    }
}
