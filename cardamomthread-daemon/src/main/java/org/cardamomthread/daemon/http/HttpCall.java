package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;

/**
 * Holds one request whose body has arrived whole.
 *
 * <p>Treated as immutable after construction: neither the headers nor the body may be changed.
 *
 * @param method the method
 * @param path the path without the query, still percent-encoded
 * @param query the query without its question mark, still percent-encoded; empty if there is none
 * @param headers the headers
 * @param body the body, empty if there is none
 */
public record HttpCall(
        HttpMethod method, String path, String query, HttpHeaders headers, byte[] body) {

    private static final String BEARER_PREFIX = "Bearer ";

    /**
     * Returns a header's first value.
     *
     * @param name the header's name, in any case
     * @return the value, or empty if the header is absent or blank
     */
    public Optional<String> getHeader(String name) {
        return Optional.ofNullable(headers.get(name)).filter(value -> !value.isBlank());
    }

    /**
     * Returns the token of a bearer authorization.
     *
     * @return the token, or empty if the header is absent or of another scheme
     */
    public Optional<String> getBearerToken() {
        return getHeader("authorization")
                .filter(value -> value.regionMatches(true, 0, BEARER_PREFIX, 0, 7))
                .map(value -> value.substring(BEARER_PREFIX.length()).trim());
    }

    /**
     * Returns the path with its query, as it stood on the request line.
     *
     * @return the request target
     */
    public String getTarget() {
        return query.isEmpty() ? path : path + "?" + query;
    }
}
