package org.cardamomthread.policy.capacity;

/**
 * States the risk that purchases may take.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param onDemandShare least share of the needed requests on hosts that are not reclaimed, 0 to 1
 * @param reclaimableShareOfDataCentre greatest share of the needed requests on the reclaimable
 *     hosts of one data centre, which may be lost at once, above 0 to 1
 */
public record PurchaseLimits(double onDemandShare, double reclaimableShareOfDataCentre) {

    /** Checks the ranges. */
    public PurchaseLimits {
        if (!(onDemandShare >= 0 && onDemandShare <= 1)
                || !(reclaimableShareOfDataCentre > 0 && reclaimableShareOfDataCentre <= 1)) {
            throw new IllegalArgumentException(
                    "onDemandShare must be 0 to 1 and reclaimableShareOfDataCentre above 0 to 1,"
                            + " got "
                            + onDemandShare
                            + " and "
                            + reclaimableShareOfDataCentre);
        }
    }
}
