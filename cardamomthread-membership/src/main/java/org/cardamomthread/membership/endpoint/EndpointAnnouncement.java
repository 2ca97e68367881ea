package org.cardamomthread.membership.endpoint;

import java.util.List;
import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;

/**
 * Holds one announcement of an endpoint. Of two announcements the one with the higher incarnation,
 * then the higher sequence, is newer.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param endpoint the endpoint
 * @param incarnation rises with each start of the endpoint
 * @param sequence rises by one with each announcement of the incarnation
 * @param dataCentre where the endpoint is
 * @param description the slowly changing part
 * @param load the load
 * @param cacheEvents changes of the prefix cache since the last announcement
 */
public record EndpointAnnouncement(
        EndpointId endpoint,
        long incarnation,
        long sequence,
        DataCentreId dataCentre,
        EndpointDescription description,
        EndpointLoad load,
        List<CacheEvent> cacheEvents) {

    /** Checks that no part is null. */
    public EndpointAnnouncement {
        Objects.requireNonNull(endpoint, "endpoint must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(description, "description must not be null");
        Objects.requireNonNull(load, "load must not be null");
        cacheEvents = List.copyOf(cacheEvents);
    }

    /**
     * Tells whether this announcement was made after another of the same endpoint.
     *
     * @param other the other announcement
     * @return true if this one is newer
     */
    public boolean isNewerThan(EndpointAnnouncement other) {
        return incarnation > other.incarnation
                || incarnation == other.incarnation && sequence > other.sequence;
    }
}
