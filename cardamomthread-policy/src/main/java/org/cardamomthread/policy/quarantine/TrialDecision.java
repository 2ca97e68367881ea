package org.cardamomthread.policy.quarantine;

/**
 * Tells whether a request may be sent to an endpoint. Immutable.
 *
 * @param kind whether the request may be sent
 * @param retryAfterMs time after which a rejected request may succeed, in milliseconds; 0 for a
 *     request that may be sent
 */
public record TrialDecision(Kind kind, long retryAfterMs) {

    /** The kinds of decision. */
    public enum Kind {
        /** No part of the request is quarantined. */
        UNRESTRICTED,
        /** The request is the only one with its quarantined parts that may be sent for now. */
        TRIAL,
        /** The request must not be sent. */
        REJECTED
    }

    /** The decision on a request without a quarantined part. */
    public static final TrialDecision UNRESTRICTED = new TrialDecision(Kind.UNRESTRICTED, 0);

    /** The decision on a request that is sent as a trial. */
    public static final TrialDecision TRIAL = new TrialDecision(Kind.TRIAL, 0);

    /**
     * Creates the decision on a request that must not be sent.
     *
     * @param retryAfterMs time after which it may succeed, in milliseconds
     * @return the decision
     */
    public static TrialDecision rejected(long retryAfterMs) {
        return new TrialDecision(Kind.REJECTED, retryAfterMs);
    }

    /**
     * Returns whether the request may be sent.
     *
     * @return false if it must be rejected
     */
    public boolean maySend() {
        return kind != Kind.REJECTED;
    }
}
