package org.cardamomthread.configuration.declaration;

/**
 * States the reclaim risk that a kind of traffic accepts.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxReclaimProbability highest accepted probability that an endpoint is reclaimed during a
 *     request, 0 to 1
 */
public record RiskTolerance(double maxReclaimProbability) {}
