package org.cardamomthread.configuration.declaration;

/**
 * Declares the latency targets of a profile.
 *
 * <p>Immutable and thread-safe.
 *
 * @param firstTokenMs target time to the first token, or to the complete response of a plain
 *     service, in milliseconds
 * @param tokenGapMs target time between two tokens, in milliseconds
 */
public record LatencyTarget(long firstTokenMs, long tokenGapMs) {}
