package org.cardamomthread.daemon.dialect;

import java.util.Objects;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Holds the state that an endpoint reports about itself. Immutable.
 *
 * @param id the id of the endpoint
 * @param startTimeMs its start time in milliseconds since 1970, which identifies the incarnation; a
 *     later incarnation with the same id has no state of an earlier one
 * @param sequence a number that increases with each report of one incarnation
 * @param service the service that it provides
 * @param address the address on which it accepts requests
 * @param dataCentre the data centre in which it runs
 * @param version the version that it runs
 * @param slots the number of requests that it can run concurrently
 * @param isDraining whether it accepts no new requests
 * @param coldMs the remaining time for which it is cold, in milliseconds
 * @param isReclaimable whether the platform may reclaim it at short notice
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

    /** The highest number of slots of one endpoint. */
    public static final int MAX_SLOTS = 65_536;

    /** The longest time for which an endpoint may remain cold, in milliseconds. */
    public static final long MAX_COLD_MS = 86_400_000;

    /** The highest start time and sequence number, which every JSON library can represent. */
    public static final long MAX_COUNTER = (1L << 53) - 1;

    /** Creates a report; no reference may be null, and each number must be within its bounds. */
    public EndpointReport {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(service, "service must not be null");
        Objects.requireNonNull(address, "address must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(version, "version must not be null");
        requireBetween("startTimeMs", startTimeMs, 0, MAX_COUNTER);
        requireBetween("sequence", sequence, 0, MAX_COUNTER);
        requireBetween("slots", slots, 1, MAX_SLOTS);
        requireBetween("coldMs", coldMs, 0, MAX_COLD_MS);
    }

    /**
     * Returns a copy of this report that is marked as draining.
     *
     * @return the copy
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

    private static void requireBetween(String name, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    name + " " + value + " must be " + min + " to " + max);
        }
    }
}
