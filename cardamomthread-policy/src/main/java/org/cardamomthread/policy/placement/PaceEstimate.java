package org.cardamomthread.policy.placement;

/**
 * Estimates a quantity per unit, such as the time per unit of work, from samples, of which recent
 * ones count more.
 *
 * <p>The estimate is a ratio of sums, so that long pieces of work, whose fixed costs matter less,
 * count more. A prior stands in while there are few or only old samples, so that an endpoint that
 * was slow once is tried again. Not thread-safe.
 */
final class PaceEstimate {

    private final double sampleDecay;
    private final double ageDecayMs;
    private double sum;
    private double units;
    private long updatedMs;

    /**
     * Creates an estimate without samples.
     *
     * @param sampleDecay the factor on the weight of earlier samples with each new one
     * @param ageDecayMs the time after which the weight of a sample has fallen to 1/e, in
     *     milliseconds
     */
    PaceEstimate(double sampleDecay, double ageDecayMs) {
        this.sampleDecay = sampleDecay;
        this.ageDecayMs = ageDecayMs;
    }

    /**
     * Adds a sample.
     *
     * @param amount the quantity, such as the time that work took
     * @param sampleUnits the number of units, above 0
     */
    void add(double amount, double sampleUnits, long nowMs) {
        double decay = sampleDecay * ageDecay(nowMs);
        sum = sum * decay + amount;
        units = units * decay + sampleUnits;
        updatedMs = nowMs;
    }

    /** Returns whether there has been a sample. */
    boolean hasSamples() {
        return units > 0;
    }

    /** Returns the quantity per unit by the samples alone; needs samples. */
    double sampled() {
        return sum / units;
    }

    /**
     * Returns the expected quantity per unit.
     *
     * @param prior the quantity per unit that is expected without samples
     * @param priorUnits the number of units that the prior counts for, above 0
     */
    double expected(double prior, double priorUnits, long nowMs) {
        double decay = units > 0 ? ageDecay(nowMs) : 0;
        return (sum * decay + prior * priorUnits) / (units * decay + priorUnits);
    }

    private double ageDecay(long nowMs) {
        return Math.exp(-(nowMs - updatedMs) / ageDecayMs);
    }
}
