package org.cardamomthread.transport;

import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;

/**
 * Request whose outcome is not known yet.
 *
 * <p>Thread-safe; only the first outcome takes effect.
 *
 * @param to identifier of the receiver
 * @param topic topic of the request
 * @param deadlineMs monotonic time at which the caller stops waiting
 * @param future completed with the response or the failure
 */
record PendingRequest(
        NodeId to, PeerTopic topic, long deadlineMs, CompletableFuture<byte[]> future) {

    void complete(byte[] payload) {
        future.complete(payload);
    }

    /** Fails the request because it was never written or its handler was not called. */
    void failUnreachable(String reason) {
        future.completeExceptionally(
                new PeerUnreachableException(describe("was not delivered", reason)));
    }

    /** Fails the request although the peer may have handled it. */
    void failUnknown(String reason) {
        future.completeExceptionally(
                new PeerOutcomeUnknownException(describe("may have been handled", reason)));
    }

    private String describe(String outcome, String reason) {
        return "request \"" + topic.name() + "\" to node \"" + to + "\" " + outcome + ": " + reason;
    }
}
