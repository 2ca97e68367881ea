package org.cardamomthread.policy.capacity;

import java.util.List;

/**
 * Lists hosts to start and to release.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param starts kinds to start, one entry for each host, in order
 * @param releases kinds to release, one entry for each host, in order
 * @param missingRequests requests that stay without capacity, as no kind may be started
 */
public record PurchaseDecision(
        List<HostOffer.Kind> starts, List<HostOffer.Kind> releases, int missingRequests) {

    /** Copies the lists. */
    public PurchaseDecision {
        starts = List.copyOf(starts);
        releases = List.copyOf(releases);
    }
}
