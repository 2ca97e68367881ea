package org.cardamomthread.daemon.dialect;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Holds an HTTP call to the platform's API.
 *
 * @param path the path of the call, which uses the method {@code POST}
 * @param headers the request headers
 * @param body the encoded request body
 */
public record PlatformCall(String path, HttpHeaders headers, byte[] body) {}
