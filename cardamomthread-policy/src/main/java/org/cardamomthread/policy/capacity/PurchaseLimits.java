package org.cardamomthread.policy.capacity;

/**
 * Limits the risk of losing capacity to reclaims when hosts are purchased.
 *
 * <p>Immutable and thread-safe.
 *
 * @param minOnDemandShare minimum share of the required concurrency on hosts that are not
 *     reclaimable, 0 to 1
 * @param maxReclaimableSharePerDataCentre maximum share of the required concurrency on the
 *     reclaimable hosts of one data centre, which may all be lost at once, above 0 and at most 1
 */
public record PurchaseLimits(double minOnDemandShare, double maxReclaimableSharePerDataCentre) {

    /** Validates the components. */
    public PurchaseLimits {
        if (!(minOnDemandShare >= 0 && minOnDemandShare <= 1)
                || !(maxReclaimableSharePerDataCentre > 0
                        && maxReclaimableSharePerDataCentre <= 1)) {
            throw new IllegalArgumentException(
                    "minOnDemandShare must be 0 to 1 and maxReclaimableSharePerDataCentre greater"
                            + " than 0 and at most 1, got "
                            + minOnDemandShare
                            + " and "
                            + maxReclaimableSharePerDataCentre);
        }
    }
}
