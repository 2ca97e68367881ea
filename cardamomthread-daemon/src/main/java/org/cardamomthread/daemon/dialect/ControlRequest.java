package org.cardamomthread.daemon.dialect;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/**
 * Represents a decoded request of an operator or an endpoint to a control node. Implementations are
 * immutable.
 */
public sealed interface ControlRequest {

    /**
     * Reports the current state of an endpoint.
     *
     * @param report the endpoint's report
     */
    record ReportEndpoint(EndpointReport report) implements ControlRequest {}

    /**
     * Deregisters an endpoint that stops.
     *
     * @param endpoint the endpoint that stops
     * @param startTimeMs its start time in milliseconds since 1970, or 0 if not given
     */
    record RemoveEndpoint(EndpointId endpoint, long startTimeMs) implements ControlRequest {}

    /**
     * Replaces the traffic document.
     *
     * @param body the encoded document
     */
    record ReplaceDocument(byte[] body) implements ControlRequest {}

    /** Reads the current traffic document. */
    record ReadDocument() implements ControlRequest {}

    /**
     * Starts to move the traffic of a service to another version.
     *
     * @param service the service to move
     * @param target the version to move to
     * @param durationMs the time within which the move must end, in milliseconds
     */
    record BeginVersionMove(ServiceId service, VersionId target, long durationMs)
            implements ControlRequest {}

    /**
     * Reads the state of the latest version move of a service.
     *
     * @param service the service
     */
    record ReadVersionMove(ServiceId service) implements ControlRequest {}

    /**
     * Takes a data centre out of service or returns it to service.
     *
     * @param dataCentre the data centre to change
     * @param isDrained true to take it out of service, false to return it
     */
    record SetDrained(DataCentreId dataCentre, boolean isDrained) implements ControlRequest {}
}
