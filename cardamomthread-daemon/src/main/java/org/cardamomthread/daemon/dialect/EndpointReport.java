package org.cardamomthread.daemon.dialect;

import java.util.Objects;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Holds what an endpoint says of itself. Immutable.
 *
 * @param id the endpoint
 * @param startTimeMs its start in milliseconds since 1970; a later start under the same id knows
 *     nothing of an earlier one
 * @param sequence rises with each report of one start
 * @param service the service it offers
 * @param address where it takes requests
 * @param dataCentre its data centre
 * @param version the version it runs
 * @param slots requests that it runs at once
 * @param isDraining whether it takes no new work
 * @param coldMs how long it stays cold, in milliseconds
 * @param isReclaimable whether it may be reclaimed at short notice
 */
public record EndpointReport(
        EndpointId id,
        long startTimeMs,
        long sequence,
        ServiceId service,
        NetworkAddress address,
        DataCentreId dataCentre,
        VersionId version,
        int slots,
        boolean isDraining,
        long coldMs,
        boolean isReclaimable) {

    /** Checks that nothing is missing. */
    public EndpointReport {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(address, "address must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(version, "version must not be null");
    }

    /**
     * Returns the same report with the state of leaving.
     *
     * @return the new report
     */
    public EndpointReport asDraining() {
        return new EndpointReport(
                id,
                startTimeMs,
                sequence,
                service,
                address,
                dataCentre,
                version,
                slots,
                true,
                coldMs,
                isReclaimable);
    }
}
