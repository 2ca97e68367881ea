package org.cardamomthread.configuration.declaration;

import java.util.List;

/**
 * Declares the steps and the stopping rule of a version move of a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param steps shares of traffic for the new version, strictly increasing up to 1.0
 * @param bakeMs bake time: how long the new version gets all traffic before the move is done, in
 *     milliseconds
 * @param falseAlarmRate accepted probability of rolling back a good version
 */
public record RolloutPolicy(List<Double> steps, long bakeMs, double falseAlarmRate) {
    /** Makes an immutable copy of the steps. */
    public RolloutPolicy {
        steps = List.copyOf(steps);
    }
}
