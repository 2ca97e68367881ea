package org.cardamomthread.daemon.dialect;

import java.util.Optional;
import java.util.OptionalInt;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.EndpointId;

/**
 * Holds the metadata that a gateway sends to an endpoint with one attempt. Immutable.
 *
 * @param endpoint the intended endpoint; another one at its address must reject the request
 * @param timeoutMs the time within which the endpoint must respond, in milliseconds
 * @param account the client account, or empty on a public route
 * @param priority the priority of the request from 0, the highest, to 9, or empty if the endpoints
 *     of the service do not support priorities
 */
public record AttemptHead(
        EndpointId endpoint,
        long timeoutMs,
        Optional<ClientAccountId> account,
        OptionalInt priority) {}
