package org.cardamomthread.transport;

/**
 * Holds a message until it is written.
 *
 * @param topic the topic
 * @param payload the content
 * @param queuedAtMs monotonic time at which it was queued
 * @param request the request, null for a one-way message
 */
record OutgoingMessage(PeerTopic topic, byte[] payload, long queuedAtMs, PendingRequest request) {

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
