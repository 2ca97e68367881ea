package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;

/**
 * Finds out which request targets can be forwarded byte for byte, so that an endpoint receives what
 * the route was chosen by.
 *
 * <p>Those are a path, with or without a query, of visible ASCII characters. Other characters are
 * not allowed in a target, and those beyond ASCII change between the decoder and the encoder of
 * request lines. The other forms of a target begin with a scheme or a host, not with a path. What
 * the path means is left to the endpoint: dot segments, percent-encoded characters, empty segments
 * and fragments are neither interpreted nor changed.
 *
 * <p>Stateless and thread-safe.
 */
public final class RequestTargets {

    /** The type of the problem of a request whose target cannot be forwarded. */
    public static final String PROBLEM_TYPE = "unsupported-target";

    private static final int MAX_QUOTED_LENGTH = 32;

    private RequestTargets() {}

    /**
     * Returns why a request cannot be forwarded unchanged.
     *
     * @param method the method of the request
     * @param target the request target as received
     * @return the problem, which names the remedy, or empty if the request can be forwarded
     */
    public static Optional<ProblemDetail> findProblem(HttpMethod method, String target) {
        if (method.equals(HttpMethod.CONNECT)) {
            return Optional.of(
                    createProblem(
                            "CONNECT opens a tunnel, which is not supported: use another method"));
        }
        if (!target.startsWith("/")) {
            return Optional.of(
                    createProblem(
                            "the request target \""
                                    + target.substring(
                                            0, Math.min(MAX_QUOTED_LENGTH, target.length()))
                                    + "\" does not begin with a slash: send the path in the"
                                    + " request line and the host in the Host header"));
        }
        for (int i = 0; i < target.length(); i++) {
            if (!isVisibleAscii(target.charAt(i))) {
                return Optional.of(
                        createProblem(
                                String.format(
                                        "the request target contains the character 0x%02x at"
                                                + " position %d: percent-encode all characters"
                                                + " other than visible ASCII characters",
                                        (int) target.charAt(i), i)));
            }
        }
        return Optional.empty();
    }

    private static boolean isVisibleAscii(char character) {
        return character > ' ' && character <= '~';
    }

    private static ProblemDetail createProblem(String detail) {
        return ProblemDetail.createNotRun(400, PROBLEM_TYPE, "Unsupported request target", detail);
    }
}
