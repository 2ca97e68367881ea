package org.cardamomthread.configuration.declaration;

/**
 * Declares how long requests of a profile may be delayed to run where and when capacity is cheap.
 *
 * <p>Rejections of invalid declarations contain the name of this class and are stored in snapshots,
 * so the name must be the same in every release. Immutable and thread-safe.
 *
 * @param patient true if requests may be delayed
 * @param maxDelayMs maximum delay in milliseconds; 0 if requests may not be delayed
 */
public record Patience(boolean patient, long maxDelayMs) {}
