package org.cardamomthread.policy.reclaim;

import java.util.Objects;
import org.cardamomthread.core.id.EndpointId;

/**
 * Describes the endpoint that would take over a call.
 *
 * <p>Immutable and thread-safe.
 *
 * @param canResume whether the endpoint can continue a response after the tokens already delivered
 * @param canImportKv whether the endpoint can import the KV cache of the old endpoint
 * @param kvTransferTokensPerSecond number of tokens whose KV cache is transferred per second, above
 *     zero
 * @param prefillTokensPerSecond prompt tokens processed per second, above zero
 * @param cachedTokens number of leading tokens of the call that the endpoint has cached, at least
 *     zero
 */
public record MigrationTarget(
        EndpointId endpoint,
        boolean canResume,
        boolean canImportKv,
        double kvTransferTokensPerSecond,
        double prefillTokensPerSecond,
        double cachedTokens) {

    /** Validates the components. */
    public MigrationTarget {
        Objects.requireNonNull(endpoint, "endpoint must not be null");
        if (!(kvTransferTokensPerSecond > 0)
                || !(prefillTokensPerSecond > 0)
                || !(cachedTokens >= 0)) {
            throw new IllegalArgumentException(
                    "token rates of "
                            + endpoint
                            + " must be greater than 0 and cachedTokens 0 or more");
        }
    }
}
