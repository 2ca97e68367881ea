package org.cardamomthread.configuration.declaration;

/**
 * States the latency that a kind of traffic accepts.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param firstTokenMs target for the first token, or the whole answer of a plain service
 * @param tokenGapMs target for the time between two tokens
 */
public record LatencyTarget(long firstTokenMs, long tokenGapMs) {}
