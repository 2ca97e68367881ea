package org.cardamomthread.daemon.capacity;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;

/**
 * States what a host costs.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param dataCentre where the price holds
 * @param endpointClass for which class
 * @param priceClass {@code reclaimable} or {@code on-demand}
 * @param pricePerHour the price, in the platform's currency an hour
 */
public record HostPrice(
        DataCentreId dataCentre,
        EndpointClassId endpointClass,
        String priceClass,
        double pricePerHour) {

    /** Checks that all parts are present. */
    public HostPrice {
        Objects.requireNonNull(dataCentre, "dataCentre must be given");
        Objects.requireNonNull(endpointClass, "endpointClass must be given");
        Objects.requireNonNull(priceClass, "priceClass must be given");
    }
}
