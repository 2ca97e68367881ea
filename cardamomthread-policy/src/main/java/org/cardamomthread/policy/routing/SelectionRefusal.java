package org.cardamomthread.policy.routing;

/**
 * States why no endpoint was selected.
 *
 * <p>Immutable and thread-safe.
 *
 * @param reason reason of the refusal
 * @param candidates number of endpoints considered
 * @param otherVersion number of endpoints that serve another version
 * @param excluded number of endpoints that the request excludes
 * @param withoutCredit number of endpoints without a credit
 * @param retryAfterMs recommended delay before the next attempt, in milliseconds
 */
public record SelectionRefusal(
        Reason reason,
        int candidates,
        int otherVersion,
        int excluded,
        int withoutCredit,
        long retryAfterMs) {

    /** Reasons why no endpoint was selected. */
    public enum Reason {
        /** No endpoint is known for the service. */
        NO_ENDPOINT,
        /** Endpoints are known, but none serves the requested version. */
        NO_ENDPOINT_OF_VERSION,
        /** The request excludes every endpoint of the version. */
        ALL_EXCLUDED,
        /** Endpoints of the version exist, but none accepts more requests at present. */
        NO_CREDIT
    }
}
