package org.cardamomthread.daemon.dialect;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Holds a call to the platform's interface.
 *
 * @param path the path, sent with the method {@code POST}
 * @param headers the headers
 * @param body the body
 */
public record PlatformCall(String path, HttpHeaders headers, byte[] body) {}
