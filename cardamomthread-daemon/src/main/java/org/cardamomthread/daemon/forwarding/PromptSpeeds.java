package org.cardamomthread.daemon.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.ServiceId;

/** Measures how fast the endpoints of each service read prompts. Used by one thread at a time. */
final class PromptSpeeds {

    /** Shorter prompts take longer for the rest of a first token than for being read. */
    private static final double LEAST_TOKENS = 1_000;

    /** How fast the least time of a token gives way to longer ones, for each measurement. */
    private static final double RISE = 1.01;

    /** Assumed until measured, in milliseconds a token: a slow engine, so that queues count. */
    private static final double ASSUMED_MS = 0.02;

    private final Map<ServiceId, Double> msPerToken = new HashMap<>();

    /** Takes the time to a first token in, for a prompt of which so many tokens were read. */
    void record(ServiceId service, double tokens, long elapsedMs) {
        if (tokens >= LEAST_TOKENS) {
            double measured = elapsedMs / tokens;
            msPerToken.merge(service, measured, (known, latest) -> Math.min(known * RISE, latest));
        }
    }

    double msPerToken(ServiceId service) {
        return msPerToken.getOrDefault(service, ASSUMED_MS);
    }
}
