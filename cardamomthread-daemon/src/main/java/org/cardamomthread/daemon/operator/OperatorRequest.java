package org.cardamomthread.daemon.operator;

import java.util.Optional;

/**
 * Holds a request of an operator.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param method the method in capitals
 * @param path the path without the query
 * @param authorization the Authorization header
 * @param body the body, empty if there is none
 */
public record OperatorRequest(
        String method, String path, Optional<String> authorization, String body) {}
