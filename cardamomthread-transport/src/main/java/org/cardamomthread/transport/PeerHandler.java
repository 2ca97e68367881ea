package org.cardamomthread.transport;

import java.util.concurrent.CompletionStage;
import org.cardamomthread.core.id.NodeId;

/**
 * Handles the messages of one topic.
 *
 * <p>Called on the event loop of the transport and must not block. Blocking work belongs on another
 * thread, which then completes the returned stage.
 */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles one message or request.
     *
     * @param from the authenticated sender
     * @param payload content of the message, owned by the handler
     * @return a stage that completes with the response; the value is ignored for a one-way message
     */
    CompletionStage<byte[]> handle(NodeId from, byte[] payload);
}
