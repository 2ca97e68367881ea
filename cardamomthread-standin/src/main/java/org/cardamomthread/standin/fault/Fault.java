package org.cardamomthread.standin.fault;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Describes a fault and the requests that it applies to.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind what goes wrong
 * @param count how many requests it applies to, 0 for no bound
 * @param version applies to this version only, if given
 * @param path applies to paths with this beginning only, if given
 * @param minRunning applies only while so many requests run
 * @param startAfterMs applies only so long after it was set
 * @param delayMs delay of a late answer
 * @param factor slowness of a slow answer, at least 1
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

    /** Checks the members. */
    public Fault {
        if (kind == null) {
            throw new IllegalArgumentException("member \"kind\" of a fault must be given");
        }
        factor = Math.max(1, factor);
    }

    boolean applies(String requestVersion, String requestPath, int running, long ageMs) {
        return (version == null || version.equals(requestVersion))
                && (path == null || requestPath.startsWith(path))
                && running >= minRunning
                && ageMs >= startAfterMs;
    }
}
