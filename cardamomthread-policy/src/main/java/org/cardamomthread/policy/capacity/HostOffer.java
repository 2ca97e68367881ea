package org.cardamomthread.policy.capacity;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Describes a kind of host that the platform offers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind endpoint class, data centre and price class
 * @param pricePerHour price of a host per hour, at least zero
 * @param concurrencyLimit maximum number of concurrent requests at a warm endpoint on such a host,
 *     at least one
 * @param startupMs time from the order until the endpoint is warm, in milliseconds, at least zero
 * @param reclaimsPerHour expected number of reclaims of such a host per hour, at least zero
 */
public record HostOffer(
        Kind kind,
        double pricePerHour,
        int concurrencyLimit,
        long startupMs,
        double reclaimsPerHour) {

    private static final double MS_PER_HOUR = 3_600_000;

    /**
     * Identifies a kind of host. Immutable.
     *
     * @param endpointClass class of the endpoint that runs on the host
     * @param dataCentre data centre of the host
     * @param priceClass price class of the host
     */
    public record Kind(
            EndpointClassId endpointClass, DataCentreId dataCentre, PriceClass priceClass) {

        /** Validates the components. */
        public Kind {
            Objects.requireNonNull(endpointClass, "endpointClass must not be null");
            Objects.requireNonNull(dataCentre, "dataCentre must not be null");
            Objects.requireNonNull(priceClass, "priceClass must not be null");
        }
    }

    /** Validates the components. */
    public HostOffer {
        Objects.requireNonNull(kind, "kind must not be null");
        if (!(pricePerHour >= 0)
                || concurrencyLimit < 1
                || startupMs < 0
                || !(reclaimsPerHour >= 0)) {
            throw new IllegalArgumentException(
                    "pricePerHour, startupMs and reclaimsPerHour of "
                            + kind
                            + " must be 0 or more and concurrencyLimit 1 or more");
        }
    }

    /**
     * Returns the price per hour and concurrent request, including the time lost to restarts after
     * reclaims.
     */
    double effectivePricePerRequest() {
        double hoursLost = reclaimsPerHour * startupMs / MS_PER_HOUR;
        return pricePerHour * (1 + hoursLost) / concurrencyLimit;
    }
}
