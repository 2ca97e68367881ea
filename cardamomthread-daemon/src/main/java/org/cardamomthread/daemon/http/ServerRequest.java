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
 * @param target the request target as received, still percent-encoded
 * @param headers the request headers
 * @param body the body; empty if there is none
 */
public record ServerRequest(HttpMethod method, String target, HttpHeaders headers, byte[] body) {

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
     * Returns the path of the target.
     *
     * @return the path without the query, still percent-encoded
     */
    public String path() {
        int queryStart = target.indexOf('?');
        return queryStart < 0 ? target : target.substring(0, queryStart);
    }
}
