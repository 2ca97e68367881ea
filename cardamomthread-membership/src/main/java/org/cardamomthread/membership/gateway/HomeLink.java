package org.cardamomthread.membership.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cardamomthread.core.id.EndpointId;

/**
 * Follows the demands sent to one home and the handles that the home gave its endpoints.
 *
 * <p>Invariant: {@code closedSequence} only rises, and no grant that answers a demand up to it is
 * used afterwards. Not safe for use by several threads; the pool guards it.
 */
final class HomeLink {

    /** What the home calls an endpoint, and which of its descriptions this gateway has. */
    static final class Handle {
        private final EndpointId endpoint;
        private final int descriptionSequence;

        Handle(EndpointId endpoint, int descriptionSequence) {
            this.endpoint = endpoint;
            this.descriptionSequence = descriptionSequence;
        }

        EndpointId endpoint() {
            return endpoint;
        }

        int descriptionSequence() {
            return descriptionSequence;
        }
    }

    private static final int MAX_DOUBLINGS = 16;

    private final long leaseMs;
    private final TreeMap<Long, Long> sentMs = new TreeMap<>();
    private final Map<Integer, Handle> handles = new HashMap<>();
    private long homeIncarnation;
    private long appliedSequence;
    private long closedSequence;
    private int urgentDemands;
    private long lastSentMs = Long.MIN_VALUE / 2;

    HomeLink(long leaseMs) {
        this.leaseMs = leaseMs;
    }

    void sent(long sequence, boolean urgent, long nowMs) {
        sentMs.put(sequence, nowMs);
        lastSentMs = nowMs;
        urgentDemands = urgent ? Math.min(urgentDemands + 1, MAX_DOUBLINGS) : 0;
    }

    /** Tells whether the next demand is due; urgent ones back off to the regular interval. */
    boolean isDue(boolean urgent, CreditPoolSettings settings, long nowMs) {
        long urgentMs = settings.urgentIntervalMs() << urgentDemands;
        long intervalMs =
                urgent
                        ? Math.min(urgentMs, settings.demandIntervalMs())
                        : settings.demandIntervalMs();
        return nowMs - lastSentMs >= intervalMs;
    }

    /** Closes the grants whose lease has run out. */
    long close(long nowMs) {
        while (!sentMs.isEmpty() && sentMs.firstEntry().getValue() + leaseMs <= nowMs) {
            closedSequence = Math.max(closedSequence, sentMs.pollFirstEntry().getKey());
        }
        return closedSequence;
    }

    /**
     * Applies the grant that answers a demand and closes all older ones.
     *
     * @return when the demand was sent, or empty if the grant must not be used
     */
    Optional<Long> apply(long demandSequence, long incarnation, long nowMs) {
        close(nowMs);
        Long sentAtMs = sentMs.get(demandSequence);
        boolean late = demandSequence <= closedSequence || demandSequence <= appliedSequence;
        if (sentAtMs == null || late || incarnation < homeIncarnation) {
            return Optional.empty();
        }
        if (incarnation > homeIncarnation) {
            homeIncarnation = incarnation;
            handles.clear();
        }
        appliedSequence = demandSequence;
        closedSequence = Math.max(closedSequence, demandSequence - 1);
        sentMs.headMap(demandSequence).clear();
        return Optional.of(sentAtMs);
    }

    Map<Integer, Handle> handles() {
        return handles;
    }

    long homeIncarnation() {
        return homeIncarnation;
    }

    long appliedSequence() {
        return appliedSequence;
    }

    long lastSentMs() {
        return lastSentMs;
    }
}
