package org.cardamomthread.membership.home;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Divides what an endpoint bears among the gateways that ask for it.
 *
 * <p>Requests in flight are counted first. What is left goes one by one to the gateway that has
 * least among those with waiting requests, and of equals to the one served longest ago, so that a
 * limit below the number of gateways rotates; then likewise to those that ask for headroom.
 * Stateless.
 */
final class FairShare {

    /** One gateway's part; {@code lastServedMs} breaks ties. */
    static final class Claimant {
        private final GatewayAccount account;
        private int share;

        private Claimant(GatewayAccount account) {
            this.account = account;
        }

        private int needed(boolean withHeadroom) {
            int needed = account.inFlight() + account.waiting();
            return withHeadroom ? needed + account.headroom() : needed;
        }
    }

    private static final Comparator<Claimant> LEAST_FIRST =
            Comparator.<Claimant>comparingInt(claimant -> claimant.share)
                    .thenComparingLong(claimant -> claimant.account.lastServedMs());

    private FairShare() {}

    /**
     * Computes one gateway's share.
     *
     * @param asking the gateway's account
     * @param accounts all accounts, the asking one included
     * @param capacity what is to be divided
     * @return the most that the asking gateway should have in flight
     */
    static int shareOf(GatewayAccount asking, Collection<GatewayAccount> accounts, int capacity) {
        List<Claimant> claimants = new ArrayList<>();
        Claimant own = null;
        for (GatewayAccount account : accounts) {
            Claimant claimant = new Claimant(account);
            claimants.add(claimant);
            if (account == asking) {
                own = claimant;
            }
        }
        if (own == null) {
            throw new IllegalArgumentException("accounts must include the asking one");
        }
        int left = fill(claimants, capacity, false);
        fill(claimants, left, true);
        return own.share;
    }

    private static int fill(List<Claimant> claimants, int capacity, boolean withHeadroom) {
        PriorityQueue<Claimant> queue = new PriorityQueue<>(LEAST_FIRST);
        for (Claimant claimant : claimants) {
            if (claimant.share < claimant.needed(withHeadroom)) {
                queue.add(claimant);
            }
        }
        int left = capacity;
        while (left > 0 && !queue.isEmpty()) {
            Claimant claimant = queue.poll();
            claimant.share++;
            left--;
            if (claimant.share < claimant.needed(withHeadroom)) {
                queue.add(claimant);
            }
        }
        return left;
    }
}
