package org.cardamomthread.experiments.path;

/**
 * Names a way to the same stand-in: through a node or direct.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name serves the report
 * @param servicePrefix URL before the path of a plain service
 * @param modelUrl URL of chat calls
 * @param token the client account's token, empty for none
 */
record Target(String name, String servicePrefix, String modelUrl, String token) {}
