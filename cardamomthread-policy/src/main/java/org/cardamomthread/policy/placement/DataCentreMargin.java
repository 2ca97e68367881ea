package org.cardamomthread.policy.placement;

import java.util.OptionalLong;

/**
 * Determines by how much an endpoint of another data centre must be expected to be faster to be
 * chosen. Immutable.
 *
 * @param configuredMs the margin set by the operator, in milliseconds, or empty to derive it from
 *     the latency objective
 */
public record DataCentreMargin(OptionalLong configuredMs) {

    /**
     * Round trip between two data centres, in milliseconds: the longest of the deployments served
     * is 2.8 ms.
     */
    public static final double ROUND_TRIP_MS = 3;

    /** Latency objective of a route that states none, in milliseconds. */
    private static final double DEFAULT_OBJECTIVE_MS = 1_000;

    /** Part of the latency objective below which a difference does not matter to callers. */
    private static final double OBJECTIVE_FRACTION = 0.1;

    /**
     * Returns the margin, in milliseconds.
     *
     * @param objectiveMs the latency objective of the route, in milliseconds, 0 if it has none
     * @return the margin, at least the round trip
     */
    public double marginMs(long objectiveMs) {
        double margin =
                configuredMs.isPresent() ? configuredMs.getAsLong() : toleranceMs(objectiveMs);
        return Math.max(ROUND_TRIP_MS, margin);
    }

    /**
     * Returns the difference up to which expected times are near-equal, in milliseconds.
     *
     * @param objectiveMs the latency objective of the route, in milliseconds, 0 if it has none
     * @return the difference, above 0
     */
    public static double toleranceMs(long objectiveMs) {
        return OBJECTIVE_FRACTION * (objectiveMs > 0 ? objectiveMs : DEFAULT_OBJECTIVE_MS);
    }
}
