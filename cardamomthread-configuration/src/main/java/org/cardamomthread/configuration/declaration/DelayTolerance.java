package org.cardamomthread.configuration.declaration;

/**
 * Declares how long requests of a profile may be delayed to run where and when capacity is cheap.
 *
 * <p>Immutable and thread-safe.
 *
 * @param patient true if requests may be delayed
 * @param maxDelayMs maximum delay in milliseconds; 0 if requests may not be delayed
 */
public record DelayTolerance(boolean patient, long maxDelayMs) {}
