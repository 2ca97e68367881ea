package org.cardamomthread.policy.admission;

/**
 * States what endpoints of a class bear.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param coldRequests requests that a cold endpoint bears, at least one
 * @param warmRequests requests that a warm endpoint bears, at least {@code coldRequests}
 * @param warmUpMs time after which an endpoint may count as warm, in milliseconds, at least zero
 */
public record ClassLimits(int coldRequests, int warmRequests, long warmUpMs) {

    /** Checks the ranges. */
    public ClassLimits {
        if (coldRequests < 1 || warmRequests < coldRequests || warmUpMs < 0) {
            throw new IllegalArgumentException(
                    "coldRequests must be 1 or more, warmRequests not below it and warmUpMs not"
                            + " negative, got "
                            + coldRequests
                            + ", "
                            + warmRequests
                            + " and "
                            + warmUpMs);
        }
    }
}
