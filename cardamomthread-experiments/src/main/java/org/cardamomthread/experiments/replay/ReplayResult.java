package org.cardamomthread.experiments.replay;

/** Accumulates the measures of one replay. Not thread-safe. */
final class ReplayResult {

    private static final double PER_THOUSAND = 1_000;

    private long calls;
    private long answered;
    private long withinTarget;
    private long recomputedTokens;
    private long drainCalls;
    private long drainAnswered;
    private long drainWithinTarget;
    private double cost;
    private int largestExcess;
    private int collapses;

    void addRecomputedTokens(long tokens) {
        recomputedTokens += tokens;
    }

    void addCost(double added) {
        cost += added;
    }

    void addExcess(int excess) {
        largestExcess = Math.max(largestExcess, excess);
    }

    void addCollapse() {
        collapses++;
    }

    void addCall(CallState state, boolean duringDrain) {
        calls++;
        answered += state.isAnswered() ? 1 : 0;
        withinTarget += state.isWithinTarget() ? 1 : 0;
        if (duringDrain) {
            drainCalls++;
            drainAnswered += state.isAnswered() ? 1 : 0;
            drainWithinTarget += state.isWithinTarget() ? 1 : 0;
        }
    }

    /** Returns the value of a measure. */
    double measure(Measure measure) {
        return switch (measure) {
            case CALLS -> calls;
            case ANSWERED_SHARE -> share(answered, calls);
            case TARGET_SHARE -> share(withinTarget, calls);
            case PRICE_PER_THOUSAND -> PER_THOUSAND * cost / Math.max(1, withinTarget);
            case RECOMPUTED_TOKENS -> recomputedTokens;
            case DRAIN_ANSWERED_SHARE -> share(drainAnswered, drainCalls);
            case DRAIN_TARGET_SHARE -> share(drainWithinTarget, drainCalls);
            case COLLAPSES -> collapses;
            case LARGEST_EXCESS -> largestExcess;
        };
    }

    private static double share(long part, long total) {
        return total == 0 ? 1 : (double) part / total;
    }

    /** The measures of a replay, with their titles in reports. */
    enum Measure {
        /** Number of calls of the workload. */
        CALLS("calls"),
        /** Share of calls with a complete answer. */
        ANSWERED_SHARE("answered"),
        /** Share of calls with a complete answer within their latency target or deadline. */
        TARGET_SHARE("in target"),
        /** Cost per thousand calls within target. */
        PRICE_PER_THOUSAND("price/1000"),
        /** Number of tokens processed again after they had been processed before. */
        RECOMPUTED_TOKENS("recomputed"),
        /**
         * Share of answered calls among those that arrived while a data centre was drained and
         * shortly after.
         */
        DRAIN_ANSWERED_SHARE("drain answ."),
        /** Share of these calls that were answered within their target. */
        DRAIN_TARGET_SHARE("drain target"),
        /** Number of newly started endpoints that failed because of overload. */
        COLLAPSES("collapses"),
        /** Largest number of requests above the concurrency limit of a newly started endpoint. */
        LARGEST_EXCESS("excess");

        private final String title;

        Measure(String title) {
            this.title = title;
        }

        String title() {
            return title;
        }
    }
}
