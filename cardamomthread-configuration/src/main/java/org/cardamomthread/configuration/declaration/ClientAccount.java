package org.cardamomthread.configuration.declaration;

import java.util.Objects;
import org.cardamomthread.core.id.ClientAccountId;

/**
 * Declares a client account.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id its id
 * @param tokenSha256 SHA-256 of its token, 64 lower-case hexadecimal digits
 * @param maxConcurrent requests in progress at once
 * @param queueLength requests that may wait beyond that
 * @param weight weight in fair shares
 */
public record ClientAccount(
        ClientAccountId id, String tokenSha256, int maxConcurrent, int queueLength, double weight) {
    /** Checks the arguments. */
    public ClientAccount {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(tokenSha256, "tokenSha256 must not be null");
    }
}
