package org.cardamomthread.membership.home;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Divides the capacity of an endpoint among the gateways that demand credits.
 *
 * <p>Capacity is assigned one credit at a time to the gateway with the smallest share whose
 * requests in flight and waiting are not yet covered. Ties go to the gateway that received a credit
 * least recently, so that a capacity below the number of gateways rotates among them. What is left
 * is assigned in the same way to the gateways that ask for headroom. Stateless.
 */
final class FairShare {

    /** Tracks the share of one gateway during the distribution. */
    static final class Claimant {
        private final GatewayAccount account;
        private int share;

        private Claimant(GatewayAccount account) {
            this.account = account;
        }

        private int demand(boolean withHeadroom) {
            int demand = account.inFlight() + account.waiting();
            return withHeadroom ? demand + account.headroom() : demand;
        }
    }

    private static final Comparator<Claimant> SMALLEST_SHARE_FIRST =
            Comparator.<Claimant>comparingInt(claimant -> claimant.share)
                    .thenComparingLong(claimant -> claimant.account.lastCreditMs());

    private FairShare() {}

    /**
     * Returns the share of one gateway.
     *
     * @param requester the account of the gateway
     * @param accounts the accounts of all gateways, including the requester's
     * @param capacity the number of credits to divide
     * @return the number of requests that the gateway should have in flight at most
     * @throws IllegalArgumentException if the accounts do not include the requester's
     */
    static int shareOf(
            GatewayAccount requester, Collection<GatewayAccount> accounts, int capacity) {
        List<Claimant> claimants = new ArrayList<>();
        Claimant requesterClaimant = null;
        for (GatewayAccount account : accounts) {
            Claimant claimant = new Claimant(account);
            claimants.add(claimant);
            if (account == requester) {
                requesterClaimant = claimant;
            }
        }
        if (requesterClaimant == null) {
            throw new IllegalArgumentException(
                    "accounts must include the account of the requester");
        }
        int remaining = distribute(claimants, capacity, false);
        distribute(claimants, remaining, true);
        return requesterClaimant.share;
    }

    /** Assigns capacity until all demands are met, and returns what is left. */
    private static int distribute(List<Claimant> claimants, int capacity, boolean withHeadroom) {
        PriorityQueue<Claimant> queue = new PriorityQueue<>(SMALLEST_SHARE_FIRST);
        for (Claimant claimant : claimants) {
            if (claimant.share < claimant.demand(withHeadroom)) {
                queue.add(claimant);
            }
        }
        int remaining = capacity;
        while (remaining > 0 && !queue.isEmpty()) {
            Claimant claimant = queue.poll();
            claimant.share++;
            remaining--;
            if (claimant.share < claimant.demand(withHeadroom)) {
                queue.add(claimant);
            }
        }
        return remaining;
    }
}
