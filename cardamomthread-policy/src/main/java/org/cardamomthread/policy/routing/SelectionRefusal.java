package org.cardamomthread.policy.routing;

/**
 * States why no endpoint was chosen.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param reason the typed reason
 * @param candidates endpoints that were looked at
 * @param otherVersion endpoints passed over because they serve another version
 * @param excluded endpoints passed over because the request excludes them
 * @param withoutCredit endpoints passed over because no credit is left
 * @param retryAfterMs time after which a new try is sensible, in milliseconds
 */
public record SelectionRefusal(
        Reason reason,
        int candidates,
        int otherVersion,
        int excluded,
        int withoutCredit,
        long retryAfterMs) {

    /** Names the reasons. Immutable. */
    public enum Reason {
        /** No endpoint is known for the service. */
        NO_ENDPOINT,
        /** Endpoints are known, but none serves the version. */
        NO_ENDPOINT_OF_VERSION,
        /** Every endpoint of the version was excluded by the request. */
        ALL_EXCLUDED,
        /** Endpoints of the version exist, but none bears more work now. */
        NO_CREDIT
    }
}
