package org.cardamomthread.daemon.capacity;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;

/**
 * The hourly price of a host of one class in one data centre.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dataCentre the data centre where the price applies
 * @param endpointClass the endpoint class that the host serves
 * @param priceClass the price class, {@code reclaimable} or {@code on-demand}
 * @param pricePerHour the price per hour in the platform's currency
 */
public record HostPrice(
        DataCentreId dataCentre,
        EndpointClassId endpointClass,
        String priceClass,
        double pricePerHour) {

    /** Checks that no component is null. */
    public HostPrice {
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(endpointClass, "endpointClass must not be null");
        Objects.requireNonNull(priceClass, "priceClass must not be null");
    }
}
