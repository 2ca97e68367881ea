package org.cardamomthread.policy.quarantine;

import java.util.Objects;

/**
 * Describes a recorded part to other nodes, which watch for answers under it. Immutable.
 *
 * @param key the part
 * @param crashes the number of separate crashes without an answer in between
 * @param confirmedCrashes the number of those after which other requests were answered
 * @param lostEndpoints the number of endpoints that were lost in them
 * @param isVouched whether a node had seen answers under the part before the first of them
 * @param hasCompanions whether another part has been lost with this one in every trial, so that a
 *     request without that one may be tried sooner
 * @param trialWaitMs time until the next trial may start, in milliseconds, 0 if it may start now
 */
public record QuarantineEntry(
        PromptPartKey key,
        int crashes,
        int confirmedCrashes,
        int lostEndpoints,
        boolean isVouched,
        boolean hasCompanions,
        long trialWaitMs) {

    /** Validates the components. */
    public QuarantineEntry {
        Objects.requireNonNull(key, "key must not be null");
        requireRange("crashes", crashes, 1, Integer.MAX_VALUE);
        requireRange("confirmedCrashes", confirmedCrashes, 0, Integer.MAX_VALUE);
        requireRange("lostEndpoints", lostEndpoints, 0, Integer.MAX_VALUE);
        requireRange("trialWaitMs", trialWaitMs, 0, PromptPartQuarantine.MAX_TRIAL_PAUSE_MS);
    }

    private static void requireRange(String name, long value, long min, long max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(
                    name + " " + value + " must be between " + min + " and " + max);
        }
    }

    /**
     * Returns whether requests with the part may only be sent as trials.
     *
     * @return false if the part is merely watched
     */
    public boolean isQuarantined() {
        return PromptPartQuarantine.isQuarantined(crashes, isVouched);
    }
}
