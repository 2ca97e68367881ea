package org.cardamomthread.daemon.dialect;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Holds the metadata in the head of an endpoint's response. Immutable.
 *
 * @param isSigned whether the response carries the endpoint's signature
 * @param isNotRun whether the endpoint states that it did not run the request
 * @param load the endpoint's load, or empty if not given
 * @param coldMs how long the endpoint stays cold, in milliseconds, or empty if not given
 * @param isLeaving whether the endpoint states that it will stop and takes no new requests
 */
public record EndpointResponseHead(
        boolean isSigned,
        boolean isNotRun,
        Optional<LoadReport> load,
        OptionalLong coldMs,
        boolean isLeaving) {}
