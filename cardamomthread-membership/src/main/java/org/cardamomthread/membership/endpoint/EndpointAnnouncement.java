package org.cardamomthread.membership.endpoint;

import java.util.List;
import java.util.Objects;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;

/**
 * Represents one periodic status report of an endpoint. Announcements of an endpoint are ordered by
 * incarnation and then by sequence.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the id of the announcing endpoint
 * @param incarnation the run of the endpoint process, which increases with each start
 * @param sequence the announcement number, which increases by one within an incarnation
 * @param dataCentre the data centre where the endpoint runs
 * @param description the address, loaded versions and other properties that rarely change
 * @param load the load that the endpoint measured
 * @param cacheEvents the changes of the prefix cache since the previous announcement
 */
public record EndpointAnnouncement(
        EndpointId endpoint,
        long incarnation,
        long sequence,
        DataCentreId dataCentre,
        EndpointDescription description,
        EndpointLoad load,
        List<CacheEvent> cacheEvents) {

    /** Rejects null components and copies the cache events. */
    public EndpointAnnouncement {
        Objects.requireNonNull(endpoint, "endpoint must not be null");
        Objects.requireNonNull(dataCentre, "dataCentre must not be null");
        Objects.requireNonNull(description, "description must not be null");
        Objects.requireNonNull(load, "load must not be null");
        cacheEvents = List.copyOf(cacheEvents);
    }

    /**
     * Returns whether this announcement was made after another one of the same endpoint.
     *
     * @param other an announcement of the same endpoint
     * @return true if this announcement supersedes the other
     */
    public boolean isNewerThan(EndpointAnnouncement other) {
        return incarnation > other.incarnation
                || incarnation == other.incarnation && sequence > other.sequence;
    }
}
