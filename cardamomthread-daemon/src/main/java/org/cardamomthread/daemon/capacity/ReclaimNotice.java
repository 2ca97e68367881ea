package org.cardamomthread.daemon.capacity;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;

/**
 * Announces that the platform will reclaim the host of an endpoint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the endpoint
 * @param dataCentre the endpoint's data centre
 * @param reclaimAtMs when the host is reclaimed, in wall-clock milliseconds
 */
public record ReclaimNotice(EndpointId endpoint, DataCentreId dataCentre, long reclaimAtMs) {

    /** Checks that no component is null. */
    public ReclaimNotice {
        Objects.requireNonNull(endpoint, "endpoint must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
    }
}
