package org.cardamomthread.daemon.view;

import org.cardamomthread.daemon.dialect.EndpointReport;

/**
 * Holds an endpoint as known to a gateway. Immutable.
 *
 * @param report its latest report
 * @param coldUntilMs until when it is cold, in monotonic milliseconds of this node
 */
public record KnownEndpoint(EndpointReport report, long coldUntilMs) {}
