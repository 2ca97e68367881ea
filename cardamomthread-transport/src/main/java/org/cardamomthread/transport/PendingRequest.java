package org.cardamomthread.transport;

import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds a request until its outcome is known.
 *
 * <p>Safe for use by several threads; only the first outcome counts.
 *
 * @param to the receiver
 * @param topic the topic
 * @param deadlineMs monotonic time at which the caller stops waiting
 * @param future completed with the outcome
 */
record PendingRequest(
        NodeId to, PeerTopic topic, long deadlineMs, CompletableFuture<byte[]> future) {

    void complete(byte[] payload) {
        future.complete(payload);
    }

    /** Fails a request that was never written or not handled. */
    void failUnreachable(String reason) {
        future.completeExceptionally(
                new PeerUnreachableException(describe("was not delivered", reason)));
    }

    /** Fails a request that the peer may have handled. */
    void failUnknown(String reason) {
        future.completeExceptionally(
                new PeerOutcomeUnknownException(describe("may have been handled", reason)));
    }

    private String describe(String outcome, String reason) {
        return "request \"" + topic.name() + "\" to node \"" + to + "\" " + outcome + ": " + reason;
    }
}
