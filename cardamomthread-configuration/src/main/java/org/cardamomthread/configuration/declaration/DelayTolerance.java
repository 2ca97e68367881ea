package org.cardamomthread.configuration.declaration;

/**
 * States how long a kind of traffic may wait for a cheap place and time.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param patient true if it may wait
 * @param maxDelayMs longest wait; 0 if it may not wait
 */
public record DelayTolerance(boolean patient, long maxDelayMs) {}
