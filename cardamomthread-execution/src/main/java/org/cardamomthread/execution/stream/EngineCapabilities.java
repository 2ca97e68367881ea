package org.cardamomthread.execution.stream;

/**
 * Capabilities of an engine that determine how a request can be moved to it or from it. Immutable.
 *
 * @param resume whether it can continue after text that was already delivered
 * @param kvTransfer whether it can export and import the KV cache
 */
public record EngineCapabilities(boolean resume, boolean kvTransfer) {}
