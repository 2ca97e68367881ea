package org.cardamomthread.configuration.settings;

import java.util.List;
import java.util.Objects;

/**
 * Holds the secrets of a node.
 *
 * <p>Immutable and thread-safe.
 *
 * @param peerKey shared key by which nodes authenticate each other
 * @param endpointToken token by which endpoints authenticate
 * @param operatorTokens tokens by which operators authenticate, at least one
 */
public record NodeSecrets(Secret peerKey, Secret endpointToken, List<Secret> operatorTokens) {
    /** Validates the components. */
    public NodeSecrets {
        Objects.requireNonNull(peerKey, "peerKey must not be null");
        Objects.requireNonNull(endpointToken, "endpointToken must not be null");
        operatorTokens = List.copyOf(operatorTokens);
    }
}
