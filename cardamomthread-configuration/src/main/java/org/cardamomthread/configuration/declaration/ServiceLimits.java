package org.cardamomthread.configuration.declaration;

/**
 * Limits a single request to a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxTokens maximum number of tokens to generate
 * @param maxRequestBytes maximum size of the request body
 * @param requestTimeoutMs maximum time to respond, in milliseconds
 */
public record ServiceLimits(int maxTokens, int maxRequestBytes, long requestTimeoutMs) {}
