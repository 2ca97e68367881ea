package org.cardamomthread.standin.fault;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Describes an injected fault and the requests that it matches.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind of misbehaviour
 * @param count number of requests to affect; 0 for no limit
 * @param version version to affect; {@code null} for every version
 * @param path path prefix to affect; {@code null} for every path
 * @param minRunning minimum number of running requests for the fault to match
 * @param startAfterMs time after its creation from which the fault matches
 * @param delayMs additional delay of a {@link FaultKind#LATE} response
 * @param factor slowdown of a {@link FaultKind#SLOW} response; raised to 1 if lower
 */
public record Fault(
        @JsonProperty(required = true) FaultKind kind,
        int count,
        String version,
        String path,
        int minRunning,
        long startAfterMs,
        long delayMs,
        double factor) {

    /** Validates the kind and raises the factor to at least 1. */
    public Fault {
        if (kind == null) {
            throw new IllegalArgumentException("member \"kind\" of a fault must be given");
        }
        factor = Math.max(1, factor);
    }

    boolean matches(String requestVersion, String requestPath, int running, long ageMs) {
        return (version == null || version.equals(requestVersion))
                && (path == null || requestPath.startsWith(path))
                && running >= minRunning
                && ageMs >= startAfterMs;
    }
}
