package org.cardamomthread.daemon.view;

import org.cardamomthread.policy.quarantine.QuarantineEntry;

/**
 * Holds what a gateway knows of a prompt part that the leader has recorded. Immutable.
 *
 * @param entry the leader's entry
 * @param trialReadyMs when the next trial may start, in monotonic milliseconds of this node
 */
public record KnownQuarantine(QuarantineEntry entry, long trialReadyMs) {

    /**
     * Returns the entry as of a later time.
     *
     * @param nowMs the time, in monotonic milliseconds of this node
     * @return the entry with the time that remains until the next trial
     */
    QuarantineEntry entryAt(long nowMs) {
        return new QuarantineEntry(
                entry.key(),
                entry.crashes(),
                entry.confirmedCrashes(),
                entry.lostEndpoints(),
                entry.isVouched(),
                entry.hasCompanions(),
                Math.max(0, trialReadyMs - nowMs));
    }
}
