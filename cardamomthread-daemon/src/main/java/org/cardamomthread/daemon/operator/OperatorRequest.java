package org.cardamomthread.daemon.operator;

import java.util.Optional;

/**
 * A request of an operator, independent of the transport.
 *
 * <p>Immutable and thread-safe.
 *
 * @param method the HTTP method in upper case
 * @param path the path without the query string
 * @param authorization the value of the Authorization header
 * @param body the body, empty if there is none
 */
public record OperatorRequest(
        String method, String path, Optional<String> authorization, String body) {}
