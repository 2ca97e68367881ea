package org.cardamomthread.configuration.declaration;

import java.util.List;

/**
 * States how a version move of a service goes forward.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param steps shares of traffic of the new version, rising, the last 1.0
 * @param bakeMs time at the full share before a move is done
 * @param falseAlarmRate accepted probability of taking back a good version
 */
public record RolloutPolicy(List<Double> steps, long bakeMs, double falseAlarmRate) {
    /** Copies the steps. */
    public RolloutPolicy {
        steps = List.copyOf(steps);
    }
}
