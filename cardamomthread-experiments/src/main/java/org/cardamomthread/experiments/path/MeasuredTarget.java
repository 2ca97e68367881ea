package org.cardamomthread.experiments.path;

/**
 * Describes one of two ways to reach the same stand-ins: through a node or directly.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name in the output
 * @param servicePrefix URL prefix of the plain service
 * @param modelUrl URL for chat completions
 * @param token bearer token of the client account; empty for none
 */
record MeasuredTarget(String name, String servicePrefix, String modelUrl, String token) {}
