package org.cardamomthread.experiments.replay;

/** Sums what a replay measured. Not safe for use by several threads. */
final class ReplayResult {

    private static final double PER_THOUSAND = 1_000;

    private long calls;
    private long answered;
    private long withinTarget;
    private long recomputedTokens;
    private long drainCalls;
    private long drainAnswered;
    private long drainWithinTarget;
    private double price;
    private int largestExcess;
    private int collapses;

    void addRecomputedTokens(long tokens) {
        recomputedTokens += tokens;
    }

    void addPrice(double added) {
        price += added;
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

    /** Returns the measures in the order of {@link Measure}. */
    double measure(Measure measure) {
        return switch (measure) {
            case CALLS -> calls;
            case ANSWERED_SHARE -> share(answered, calls);
            case TARGET_SHARE -> share(withinTarget, calls);
            case PRICE_PER_THOUSAND -> PER_THOUSAND * price / Math.max(1, withinTarget);
            case RECOMPUTED_TOKENS -> recomputedTokens;
            case DRAIN_ANSWERED_SHARE -> share(drainAnswered, drainCalls);
            case DRAIN_TARGET_SHARE -> share(drainWithinTarget, drainCalls);
            case COLLAPSES -> collapses;
            case LARGEST_EXCESS -> largestExcess;
        };
    }

    private static double share(long part, long whole) {
        return whole == 0 ? 1 : (double) part / whole;
    }

    /** Names what is measured. Immutable. */
    enum Measure {
        /** Calls of the workload. */
        CALLS("calls"),
        /** Share of calls with a whole answer. */
        ANSWERED_SHARE("answered"),
        /** Share of calls with a whole answer within their target. */
        TARGET_SHARE("in target"),
        /** Price of a thousand calls within target. */
        PRICE_PER_THOUSAND("price/1000"),
        /** Tokens processed that had been processed before. */
        RECOMPUTED_TOKENS("recomputed"),
        /** Share answered of the calls that came while a data centre left and returned. */
        DRAIN_ANSWERED_SHARE("drain answ."),
        /** Share of the same within their target. */
        DRAIN_TARGET_SHARE("drain target"),
        /** Fresh endpoints that fell over. */
        COLLAPSES("collapses"),
        /** Largest number of requests beyond what a fresh endpoint bore. */
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
