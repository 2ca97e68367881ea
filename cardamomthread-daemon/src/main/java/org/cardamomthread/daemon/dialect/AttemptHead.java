package org.cardamomthread.daemon.dialect;

import java.util.Optional;
import java.util.OptionalInt;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.EndpointId;

/**
 * Holds what the system tells an endpoint about one attempt. Immutable.
 *
 * @param endpoint the endpoint that is meant; another one at its address must refuse
 * @param timeoutMs how long the endpoint may work, in milliseconds
 * @param account the account of the client, or empty for a public route
 * @param priority the rank of the request, 0 to 9, 0 first, or empty where endpoints know none
 */
public record AttemptHead(
        EndpointId endpoint,
        long timeoutMs,
        Optional<ClientAccountId> account,
        OptionalInt priority) {}
