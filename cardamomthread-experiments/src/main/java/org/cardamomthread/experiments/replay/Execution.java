package org.cardamomthread.experiments.replay;

/**
 * The execution of a call at a simulated endpoint. Not thread-safe.
 *
 * <p>Its times are computed when it starts, from the number of requests then in the batch.
 */
final class Execution {

    private final CallState state;
    private final long startedAtMs;
    private final double firstTokenAtMs;
    private final double tokenIntervalMs;
    private final int tokens;
    private final int inFlight;
    private boolean ended;

    Execution(
            CallState state,
            long startedAtMs,
            double firstTokenAtMs,
            double gapMs,
            int tokens,
            int inFlight) {
        this.state = state;
        this.startedAtMs = startedAtMs;
        this.firstTokenAtMs = firstTokenAtMs;
        this.tokenIntervalMs = gapMs;
        this.tokens = tokens;
        this.inFlight = inFlight;
    }

    CallState state() {
        return state;
    }

    long startedAtMs() {
        return startedAtMs;
    }

    long firstTokenAtMs() {
        return (long) Math.ceil(firstTokenAtMs);
    }

    long finishAtMs() {
        return (long) Math.ceil(firstTokenAtMs + tokenIntervalMs * (tokens - 1));
    }

    int tokens() {
        return tokens;
    }

    int inFlight() {
        return inFlight;
    }

    double tokenIntervalMs() {
        return tokenIntervalMs;
    }

    /** Returns the number of tokens generated up to a time. */
    int tokensUntil(long nowMs) {
        if (nowMs < firstTokenAtMs) {
            return 0;
        }
        return (int) Math.min(tokens, 1 + (nowMs - firstTokenAtMs) / tokenIntervalMs);
    }

    boolean isEnded() {
        return ended;
    }

    void end() {
        ended = true;
    }
}
