package org.cardamomthread.transport;

import java.util.concurrent.CompletionStage;
import org.cardamomthread.core.id.NodeId;

/**
 * Handles the messages of one topic.
 *
 * <p>Called on the thread of the transport, so it must not block: work that waits goes to another
 * thread and completes the returned stage from there.
 */
@FunctionalInterface
public interface PeerHandler {

    /**
     * Handles one message or request.
     *
     * @param from the authenticated sender
     * @param payload the content, owned by the handler
     * @return completes with the response; its value is ignored for a one-way message
     */
    CompletionStage<byte[]> handle(NodeId from, byte[] payload);
}
