package org.cardamomthread.transport;

/**
 * Message or request that is waiting to be written.
 *
 * @param topic topic of the message
 * @param payload serialized content
 * @param queuedAtMs monotonic time at which the message was queued
 * @param request pending request; null for a one-way message
 */
record QueuedMessage(PeerTopic topic, byte[] payload, long queuedAtMs, PendingRequest request) {

    boolean isOneWay() {
        return request == null;
    }

    boolean isExpired(long nowMs, long messageMaxAgeMs) {
        if (isOneWay()) {
            return nowMs - queuedAtMs >= messageMaxAgeMs;
        }
        return nowMs >= request.deadlineMs();
    }
}
