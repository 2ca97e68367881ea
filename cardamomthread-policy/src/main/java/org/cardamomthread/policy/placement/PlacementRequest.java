package org.cardamomthread.policy.placement;

import java.util.Optional;
import org.cardamomthread.policy.placement.RecentPrompts.CachedTokens;

/**
 * Holds what the placement of a request depends on. Immutable.
 *
 * @param promptTokens the prompt tokens, 0 for a service without prompts
 * @param affinityKey the key of the prompt part that other requests share, or empty for none
 * @param cachedTokens what endpoints are expected to have cached of the prompt
 * @param toleranceMs the difference up to which expected times are near-equal, in milliseconds
 * @param marginMs by how much an endpoint of another data centre must be expected to be faster, in
 *     milliseconds
 */
public record PlacementRequest(
        long promptTokens,
        Optional<String> affinityKey,
        CachedTokens cachedTokens,
        double toleranceMs,
        double marginMs) {}
