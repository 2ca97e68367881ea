package org.cardamomthread.daemon.forwarding;

/**
 * Bounds the requests that wait for an endpoint at one gateway. Immutable.
 *
 * @param maxRequests maximum number of waiting requests, 0 if none may wait
 * @param maxBytes maximum memory of the waiting requests, in bytes
 */
public record WaitingLimits(int maxRequests, long maxBytes) {

    /**
     * The limits that apply unless others are set: a fourteenth of the heap with which gateways are
     * started.
     */
    public static final WaitingLimits DEFAULT = new WaitingLimits(256, 4L * 1024 * 1024);
}
