package org.cardamomthread.daemon.registry;

import java.util.Objects;
import org.cardamomthread.daemon.dialect.EndpointReport;

/**
 * Holds the newest report of an endpoint. Immutable.
 *
 * @param report the report
 * @param isGone whether the endpoint has said that it ends
 * @param isSilent whether it has not been heard of for too long
 * @param heardMs when the report was heard, monotonic milliseconds of this node
 * @param coldUntilMs until when it is cold, monotonic milliseconds of this node
 * @param revision the register's revision of the last change that gateways must learn
 */
public record RegisteredEndpoint(
        EndpointReport report,
        boolean isGone,
        boolean isSilent,
        long heardMs,
        long coldUntilMs,
        long revision) {

    /** Checks that the report is there. */
    public RegisteredEndpoint {
        Objects.requireNonNull(report, "report must not be null");
    }

    RegisteredEndpoint withRevision(long newRevision) {
        return new RegisteredEndpoint(report, isGone, isSilent, heardMs, coldUntilMs, newRevision);
    }

    RegisteredEndpoint asGone(long newHeardMs, long newRevision) {
        return new RegisteredEndpoint(
                report.asLeaving(), true, isSilent, newHeardMs, coldUntilMs, newRevision);
    }

    RegisteredEndpoint asSilent(long newRevision) {
        return new RegisteredEndpoint(report, isGone, true, heardMs, coldUntilMs, newRevision);
    }

    /**
     * Tells whether gateways may know the endpoint.
     *
     * @return true if it has been heard of lately and has not ended
     */
    public boolean isPresent() {
        return !isGone && !isSilent;
    }
}
