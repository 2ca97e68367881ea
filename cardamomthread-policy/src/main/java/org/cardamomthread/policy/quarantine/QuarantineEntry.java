package org.cardamomthread.policy.quarantine;

/**
 * Describes a quarantined part to other nodes. Immutable.
 *
 * @param key the part
 * @param crashes the number of separate crashes without an answer in between
 * @param isVouched whether a node had seen answers under the part before the first of them
 * @param trialWaitMs time until the next trial may start, in milliseconds, 0 if it may start now
 */
public record QuarantineEntry(
        PromptPartKey key, int crashes, boolean isVouched, long trialWaitMs) {}
