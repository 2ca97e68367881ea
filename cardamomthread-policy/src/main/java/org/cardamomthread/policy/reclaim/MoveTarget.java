package org.cardamomthread.policy.reclaim;

import java.util.Objects;
import org.cardamomthread.core.id.EndpointId;

/**
 * Describes the endpoint that would take over a call.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param resumes true if it can go on after delivered tokens
 * @param importsKv true if it can import the old endpoint's KV cache
 * @param kvTokensPerSecond tokens whose KV cache is moved a second, above zero
 * @param prefillTokensPerSecond prompt tokens processed a second, above zero
 * @param cachedTokens leading tokens of the call that it already caches, at least zero
 */
public record MoveTarget(
        EndpointId endpoint,
        boolean resumes,
        boolean importsKv,
        double kvTokensPerSecond,
        double prefillTokensPerSecond,
        double cachedTokens) {

    /** Checks the parts. */
    public MoveTarget {
        Objects.requireNonNull(endpoint, "endpoint must be given");
        if (!(kvTokensPerSecond > 0) || !(prefillTokensPerSecond > 0) || !(cachedTokens >= 0)) {
            throw new IllegalArgumentException(
                    "rates of " + endpoint + " must be above 0 and cachedTokens 0 or more");
        }
    }
}
