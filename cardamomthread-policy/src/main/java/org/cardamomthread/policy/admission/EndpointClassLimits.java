package org.cardamomthread.policy.admission;

/**
 * Holds the concurrency limits of an endpoint class.
 *
 * <p>Immutable and thread-safe.
 *
 * @param coldConcurrency maximum number of concurrent requests at a cold endpoint, at least one
 * @param warmConcurrency maximum number of concurrent requests at a warm endpoint, at least {@code
 *     coldConcurrency}
 * @param warmUpMs time after which an endpoint is considered warm, in milliseconds, at least zero
 */
public record EndpointClassLimits(int coldConcurrency, int warmConcurrency, long warmUpMs) {

    /** Validates the components. */
    public EndpointClassLimits {
        if (coldConcurrency < 1 || warmConcurrency < coldConcurrency || warmUpMs < 0) {
            throw new IllegalArgumentException(
                    "coldConcurrency must be 1 or more, warmConcurrency not below it and warmUpMs"
                            + " not negative, got "
                            + coldConcurrency
                            + ", "
                            + warmConcurrency
                            + " and "
                            + warmUpMs);
        }
    }
}
