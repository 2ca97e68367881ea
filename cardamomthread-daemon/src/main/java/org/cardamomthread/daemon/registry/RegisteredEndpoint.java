package org.cardamomthread.daemon.registry;

import java.util.Objects;
import org.cardamomthread.daemon.dialect.EndpointReport;

/**
 * Holds the newest report of an endpoint. Immutable.
 *
 * @param report the report
 * @param isRemoved whether the endpoint has said that it ends
 * @param isTimedOut whether it has not been heard of for too long
 * @param receivedMs when the report was heard, monotonic milliseconds of this node
 * @param coldUntilMs until when it is cold, monotonic milliseconds of this node
 * @param revision the register's revision of the last change that gateways must learn
 */
public record RegisteredEndpoint(
        EndpointReport report,
        boolean isRemoved,
        boolean isTimedOut,
        long receivedMs,
        long coldUntilMs,
        long revision) {

    /** Checks that the report is there. */
    public RegisteredEndpoint {
        Objects.requireNonNull(report, "report must not be null");
    }

    RegisteredEndpoint withRevision(long newRevision) {
        return new RegisteredEndpoint(
                report, isRemoved, isTimedOut, receivedMs, coldUntilMs, newRevision);
    }

    RegisteredEndpoint asRemoved(long newHeardMs, long newRevision) {
        return new RegisteredEndpoint(
                report.asDraining(), true, isTimedOut, newHeardMs, coldUntilMs, newRevision);
    }

    RegisteredEndpoint asTimedOut(long newRevision) {
        return new RegisteredEndpoint(
                report, isRemoved, true, receivedMs, coldUntilMs, newRevision);
    }

    /**
     * Tells whether gateways may know the endpoint.
     *
     * @return true if it has been heard of lately and has not ended
     */
    public boolean isPresent() {
        return !isRemoved && !isTimedOut;
    }
}
