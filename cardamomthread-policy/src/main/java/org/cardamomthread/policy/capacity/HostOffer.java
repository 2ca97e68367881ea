package org.cardamomthread.policy.capacity;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Describes a kind of host that can be bought.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind class, data centre and price class
 * @param pricePerHour price of a host an hour, at least zero
 * @param bearableRequests requests that such an endpoint bears when warm, at least one
 * @param startMs time from the order until it is warm, in milliseconds, at least zero
 * @param reclaimsPerHour expected reclaims of such a host an hour, at least zero
 */
public record HostOffer(
        Kind kind,
        double pricePerHour,
        int bearableRequests,
        long startMs,
        double reclaimsPerHour) {

    private static final double MS_PER_HOUR = 3_600_000;

    /**
     * Names a kind of host. Immutable.
     *
     * @param endpointClass the class of host
     * @param dataCentre where it runs
     * @param priceClass how it is paid for
     */
    public record Kind(
            EndpointClassId endpointClass, DataCentreId dataCentre, PriceClass priceClass) {

        /** Checks the parts. */
        public Kind {
            Objects.requireNonNull(endpointClass, "endpointClass must be given");
            Objects.requireNonNull(dataCentre, "dataCentre must be given");
            Objects.requireNonNull(priceClass, "priceClass must be given");
        }
    }

    /** Checks the parts. */
    public HostOffer {
        Objects.requireNonNull(kind, "kind must be given");
        if (!(pricePerHour >= 0)
                || bearableRequests < 1
                || startMs < 0
                || !(reclaimsPerHour >= 0)) {
            throw new IllegalArgumentException(
                    "pricePerHour, startMs and reclaimsPerHour of "
                            + kind
                            + " must be 0 or more and bearableRequests 1 or more");
        }
    }

    /** Returns the price of one bearable request an hour, with the time lost to restarts. */
    double effectivePrice() {
        double hoursLost = reclaimsPerHour * startMs / MS_PER_HOUR;
        return pricePerHour * (1 + hoursLost) / bearableRequests;
    }
}
