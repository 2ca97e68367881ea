package org.cardamomthread.experiments.replay;

/**
 * Holds a call in execution at a fake endpoint. Not safe for use by several threads.
 *
 * <p>Times are fixed when the execution begins, from the number of requests in the batch.
 */
final class Execution {

    private final CallState state;
    private final long startedAtMs;
    private final double firstTokenAtMs;
    private final double gapMs;
    private final int tokens;
    private final int inFlight;
    private boolean over;

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
        this.gapMs = gapMs;
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
        return (long) Math.ceil(firstTokenAtMs + gapMs * (tokens - 1));
    }

    int tokens() {
        return tokens;
    }

    int inFlight() {
        return inFlight;
    }

    double gapMs() {
        return gapMs;
    }

    /** Returns the tokens generated until a time. */
    int tokensUntil(long nowMs) {
        if (nowMs < firstTokenAtMs) {
            return 0;
        }
        return (int) Math.min(tokens, 1 + (nowMs - firstTokenAtMs) / gapMs);
    }

    boolean isOver() {
        return over;
    }

    void end() {
        over = true;
    }
}
