package org.cardamomthread.configuration.settings;

import java.util.List;
import java.util.Objects;

/**
 * Holds the secrets of a node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param peerKey key by which nodes know each other
 * @param endpointToken token that endpoints present
 * @param operatorTokens tokens that operators present, at least one
 */
public record NodeSecrets(Secret peerKey, Secret endpointToken, List<Secret> operatorTokens) {
    /** Checks the arguments. */
    public NodeSecrets {
        Objects.requireNonNull(peerKey, "peerKey must not be null");
        Objects.requireNonNull(endpointToken, "endpointToken must not be null");
        operatorTokens = List.copyOf(operatorTokens);
    }
}
