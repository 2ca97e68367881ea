package org.cardamomthread.policy.capacity;

import java.util.List;

/**
 * Lists the hosts to start and to release.
 *
 * <p>Immutable and thread-safe.
 *
 * @param starts kinds of hosts to start, one entry per host, in the order of the starts
 * @param releases kinds of hosts to release, one entry per host, in the order of the releases
 * @param unmetConcurrency number of concurrent requests for which no host could be started, at
 *     least zero
 */
public record PurchaseDecision(
        List<HostOffer.Kind> starts, List<HostOffer.Kind> releases, int unmetConcurrency) {

    /** Makes defensive copies. */
    public PurchaseDecision {
        starts = List.copyOf(starts);
        releases = List.copyOf(releases);
    }
}
