package org.cardamomthread.daemon.view;

import org.cardamomthread.daemon.dialect.EndpointReport;

/**
 * Holds an endpoint as a gateway knows it. Immutable.
 *
 * @param report its latest report
 * @param coldUntilMs until when it is cold, monotonic milliseconds of this node
 */
public record ViewedEndpoint(EndpointReport report, long coldUntilMs) {}
