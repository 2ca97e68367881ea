package org.cardamomthread.configuration.declaration;

import java.util.Objects;
import org.cardamomthread.core.id.ClientAccountId;

/**
 * Declares a client account, its token and its limits.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id id of the account
 * @param tokenSha256 SHA-256 of the token of the account, 64 lower-case hexadecimal digits
 * @param maxConcurrent maximum number of requests in progress at once
 * @param queueLength maximum number of requests that wait in the queue beyond that
 * @param weight relative weight of the account when capacity is shared fairly
 */
public record ClientAccount(
        ClientAccountId id, String tokenSha256, int maxConcurrent, int queueLength, double weight) {
    /** Validates the components. */
    public ClientAccount {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(tokenSha256, "tokenSha256 must not be null");
    }
}
