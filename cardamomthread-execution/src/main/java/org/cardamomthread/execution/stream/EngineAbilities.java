package org.cardamomthread.execution.stream;

/**
 * Holds what an engine can do for a moved request. Immutable.
 *
 * @param resume continues after a delivered text
 * @param kvTransfer exports and imports KV cache
 */
public record EngineAbilities(boolean resume, boolean kvTransfer) {}
