package org.cardamomthread.configuration.declaration;

/**
 * Declares the risk of a reclaimed endpoint that a profile accepts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxReclaimProbability maximum accepted probability that an endpoint is reclaimed during a
 *     request, 0 to 1
 */
public record RiskTolerance(double maxReclaimProbability) {}
