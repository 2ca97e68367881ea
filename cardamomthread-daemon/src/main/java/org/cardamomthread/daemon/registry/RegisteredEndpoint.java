package org.cardamomthread.daemon.registry;

import java.util.Objects;
import org.cardamomthread.daemon.dialect.EndpointReport;

/**
 * Holds the registry's entry for an endpoint. Immutable.
 *
 * @param report the newest report
 * @param isRemoved whether the endpoint has deregistered
 * @param isTimedOut whether its next report is overdue
 * @param receivedMs when the report was received, in monotonic milliseconds of this node
 * @param coldUntilMs until when it is cold, in monotonic milliseconds of this node
 * @param revision the registry's revision at the last change that gateways must receive
 */
public record RegisteredEndpoint(
        EndpointReport report,
        boolean isRemoved,
        boolean isTimedOut,
        long receivedMs,
        long coldUntilMs,
        long revision) {

    /** Creates an entry. */
    public RegisteredEndpoint {
        Objects.requireNonNull(report, "report must not be null");
    }

    RegisteredEndpoint withRevision(long newRevision) {
        return new RegisteredEndpoint(
                report, isRemoved, isTimedOut, receivedMs, coldUntilMs, newRevision);
    }

    RegisteredEndpoint asRemoved(long newReceivedMs, long newRevision) {
        return new RegisteredEndpoint(
                report.asDraining(), true, isTimedOut, newReceivedMs, coldUntilMs, newRevision);
    }

    RegisteredEndpoint asDraining(long newRevision) {
        return new RegisteredEndpoint(
                report.asDraining(), isRemoved, isTimedOut, receivedMs, coldUntilMs, newRevision);
    }

    RegisteredEndpoint asTimedOut(long newRevision) {
        return new RegisteredEndpoint(
                report, isRemoved, true, receivedMs, coldUntilMs, newRevision);
    }

    /**
     * Returns whether the endpoint is offered to gateways.
     *
     * @return true if it is neither timed out nor removed
     */
    public boolean isPresent() {
        return !isRemoved && !isTimedOut;
    }
}
