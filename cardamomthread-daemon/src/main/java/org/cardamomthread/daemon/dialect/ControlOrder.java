package org.cardamomthread.daemon.dialect;

import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/** Is a call of an operator or an endpoint to a control node. Implementations are immutable. */
public sealed interface ControlOrder {

    /**
     * Reports the state of an endpoint.
     *
     * @param report the report
     */
    record ReportEndpoint(EndpointReport report) implements ControlOrder {}

    /**
     * Says that an endpoint ends.
     *
     * @param endpoint the endpoint
     * @param startTimeMs its start in milliseconds since 1970, 0 if not given
     */
    record RemoveEndpoint(EndpointId endpoint, long startTimeMs) implements ControlOrder {}

    /**
     * Puts a traffic document in force.
     *
     * @param body the document as it was sent
     */
    record ReplaceDocument(byte[] body) implements ControlOrder {}

    /** Reads the newest traffic document. */
    record ReadDocument() implements ControlOrder {}

    /**
     * Begins to move a service to another version.
     *
     * @param service the service
     * @param target the version
     * @param durationMs time until which the move must have ended, in milliseconds
     */
    record BeginVersionMove(ServiceId service, VersionId target, long durationMs)
            implements ControlOrder {}

    /**
     * Reads the state of a service's latest version move.
     *
     * @param service the service
     */
    record ReadVersionMove(ServiceId service) implements ControlOrder {}

    /**
     * Takes a data centre out of service or back.
     *
     * @param dataCentre the data centre
     * @param isDrained true to take it out
     */
    record SetDrained(DataCentreId dataCentre, boolean isDrained) implements ControlOrder {}
}
