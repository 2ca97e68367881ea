package org.cardamomthread.configuration.declaration;

/**
 * Bounds one request of a service.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param maxTokens most tokens generated
 * @param maxRequestBytes largest body
 * @param requestTimeoutMs longest time to answer
 */
public record ServiceLimits(int maxTokens, int maxRequestBytes, long requestTimeoutMs) {}
