package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;

/**
 * Represents a request that was received completely.
 *
 * <p>Must be treated as immutable: neither the headers nor the body may be modified.
 *
 * @param method the HTTP method
 * @param path the path without the query, still percent-encoded
 * @param query the query without its question mark, still percent-encoded; empty if there is none
 * @param headers the request headers
 * @param body the body; empty if there is none
 */
public record ServerRequest(
        HttpMethod method, String path, String query, HttpHeaders headers, byte[] body) {

    private static final String BEARER_PREFIX = "Bearer ";

    /**
     * Returns the first value of a header.
     *
     * @param name the name of the header, case-insensitive
     * @return the value, or empty if the header is absent or blank
     */
    public Optional<String> getHeader(String name) {
        return Optional.ofNullable(headers.get(name)).filter(value -> !value.isBlank());
    }

    /**
     * Returns the bearer token of the {@code Authorization} header.
     *
     * @return the token, or empty if the header is absent or has another scheme
     */
    public Optional<String> getBearerToken() {
        return getHeader("authorization")
                .filter(value -> value.regionMatches(true, 0, BEARER_PREFIX, 0, 7))
                .map(value -> value.substring(BEARER_PREFIX.length()).trim());
    }

    /**
     * Returns the path and query as received on the request line.
     *
     * @return the request target
     */
    public String getRequestTarget() {
        return query.isEmpty() ? path : path + "?" + query;
    }
}
