package org.cardamomthread.daemon.view;

import java.util.Objects;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dialect.EndpointReport;

/**
 * Identifies one start of an endpoint. Immutable.
 *
 * @param endpoint the endpoint
 * @param startTimeMs the time of the start, in milliseconds since 1970
 */
public record EndpointIncarnation(EndpointId endpoint, long startTimeMs) {

    /** Creates an incarnation. */
    public EndpointIncarnation {
        Objects.requireNonNull(endpoint, "endpoint must not be null");
    }

    /**
     * Returns the incarnation that sent a report.
     *
     * @param report the report
     * @return its incarnation
     */
    public static EndpointIncarnation of(EndpointReport report) {
        return new EndpointIncarnation(report.id(), report.startTimeMs());
    }

    @Override
    public String toString() {
        return endpoint + ":" + startTimeMs;
    }
}
