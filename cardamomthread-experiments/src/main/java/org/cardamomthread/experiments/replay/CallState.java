package org.cardamomthread.experiments.replay;

/** Follows one call through a replay. Not safe for use by several threads. */
final class CallState {

    static final long NOT_YET = -1;

    private final Call call;
    private final int gateway;
    private int deliveredTokens;
    private int attempts;
    private long firstTokenAtMs = NOT_YET;
    private long finishedAtMs = NOT_YET;
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

    void onAttempt() {
        attempts++;
    }

    void onDelivered(int tokens, long firstAtMs) {
        if (firstTokenAtMs == NOT_YET) {
            firstTokenAtMs = firstAtMs;
        }
        deliveredTokens += tokens;
    }

    /** Forgets delivered tokens, as a simple proxy does that runs the call again. */
    void restart() {
        deliveredTokens = 0;
    }

    void onFinished(long nowMs) {
        finishedAtMs = nowMs;
    }

    void onRefused() {
        refused = true;
    }

    boolean isAnswered() {
        return finishedAtMs != NOT_YET && !refused;
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
