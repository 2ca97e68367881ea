package org.cardamomthread.daemon.capacity;

import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;

/**
 * Announces that the host of an endpoint will be taken away.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param dataCentre where it is
 * @param reclaimAtMs when the host goes, in wall-clock milliseconds
 */
public record ReclaimNotice(EndpointId endpoint, DataCentreId dataCentre, long reclaimAtMs) {

    /** Checks that all parts are present. */
    public ReclaimNotice {
        Objects.requireNonNull(endpoint, "endpoint must be given");
        Objects.requireNonNull(dataCentre, "dataCentre must be given");
    }
}
