package org.cardamomthread.experiments.replay;

/** Tracks the progress of one call through a replay. Not thread-safe. */
final class CallState {

    static final long UNSET_TIME_MS = -1;

    private final Call call;
    private final int gateway;
    private int deliveredTokens;
    private int attempts;
    private long firstTokenAtMs = UNSET_TIME_MS;
    private long finishedAtMs = UNSET_TIME_MS;
    private boolean refused;

    CallState(Call call, int gateway) {
        this.call = call;
        this.gateway = gateway;
    }

    Call call() {
        return call;
    }

    int gateway() {
        return gateway;
    }

    int deliveredTokens() {
        return deliveredTokens;
    }

    int remainingTokens() {
        return Math.max(1, call.outputTokens() - deliveredTokens);
    }

    int attempts() {
        return attempts;
    }

    void recordAttempt() {
        attempts++;
    }

    void recordDelivery(int tokens, long firstAtMs) {
        if (firstTokenAtMs == UNSET_TIME_MS) {
            firstTokenAtMs = firstAtMs;
        }
        deliveredTokens += tokens;
    }

    /** Discards the delivered tokens, as a proxy does that repeats the entire call. */
    void discardDeliveredTokens() {
        deliveredTokens = 0;
    }

    void recordFinish(long nowMs) {
        finishedAtMs = nowMs;
    }

    void recordRefusal() {
        refused = true;
    }

    boolean isAnswered() {
        return finishedAtMs != UNSET_TIME_MS && !refused;
    }

    boolean isWithinTarget() {
        if (!isAnswered()) {
            return false;
        }
        if (call.deadlineMs() != Long.MAX_VALUE) {
            return finishedAtMs <= call.deadlineMs();
        }
        return firstTokenAtMs - call.arrivalMs() <= call.profile().firstTokenTargetMs();
    }
}
