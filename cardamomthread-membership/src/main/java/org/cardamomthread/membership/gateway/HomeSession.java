package org.cardamomthread.membership.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cardamomthread.core.id.EndpointId;

/**
 * Tracks the demands sent to one home and the handles that this home assigned to endpoints.
 *
 * <p>Invariant: {@code closedSequence} never decreases, and grants that answer demands up to it are
 * no longer used. Not thread-safe; the pool synchronizes access.
 */
final class HomeSession {

    /**
     * Holds the endpoint that a handle refers to and the sequence of its latest description
     * received from the home.
     */
    static final class KnownEndpoint {
        private final EndpointId endpoint;
        private final int descriptionSequence;

        KnownEndpoint(EndpointId endpoint, int descriptionSequence) {
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

    private static final int MAX_BACKOFF_DOUBLINGS = 16;

    private final long leaseMs;

    /** The send times of the demands whose grants are open, by demand sequence. */
    private final TreeMap<Long, Long> sendTimesMs = new TreeMap<>();

    private final Map<Integer, KnownEndpoint> endpointsByHandle = new HashMap<>();
    private long homeIncarnation;
    private long appliedSequence;
    private long closedSequence;
    private int consecutiveUrgentDemands;
    private long lastSentMs = Long.MIN_VALUE / 2;

    HomeSession(long leaseMs) {
        this.leaseMs = leaseMs;
    }

    void recordDemand(long sequence, boolean urgent, long nowMs) {
        sendTimesMs.put(sequence, nowMs);
        lastSentMs = nowMs;
        consecutiveUrgentDemands =
                urgent ? Math.min(consecutiveUrgentDemands + 1, MAX_BACKOFF_DOUBLINGS) : 0;
    }

    /** Returns whether the next demand is due. Urgent demands back off to the regular interval. */
    boolean isDue(boolean urgent, CreditPoolSettings settings, long nowMs) {
        long urgentMs = settings.urgentIntervalMs() << consecutiveUrgentDemands;
        long intervalMs =
                urgent
                        ? Math.min(urgentMs, settings.demandIntervalMs())
                        : settings.demandIntervalMs();
        return nowMs - lastSentMs >= intervalMs;
    }

    /** Closes the grants whose lease has expired and returns the highest closed demand sequence. */
    long closeExpiredGrants(long nowMs) {
        while (!sendTimesMs.isEmpty() && sendTimesMs.firstEntry().getValue() + leaseMs <= nowMs) {
            closedSequence = Math.max(closedSequence, sendTimesMs.pollFirstEntry().getKey());
        }
        return closedSequence;
    }

    /**
     * Applies the grant that answers a demand and closes all older grants.
     *
     * @return the time when the demand was sent, or empty if the grant must not be used
     */
    Optional<Long> applyGrant(long demandSequence, long incarnation, long nowMs) {
        closeExpiredGrants(nowMs);
        Long sentAtMs = sendTimesMs.get(demandSequence);
        boolean late = demandSequence <= closedSequence || demandSequence <= appliedSequence;
        if (sentAtMs == null || late || incarnation < homeIncarnation) {
            return Optional.empty();
        }
        if (incarnation > homeIncarnation) {
            homeIncarnation = incarnation;
            endpointsByHandle.clear();
        }
        appliedSequence = demandSequence;
        closedSequence = Math.max(closedSequence, demandSequence - 1);
        sendTimesMs.headMap(demandSequence).clear();
        return Optional.of(sentAtMs);
    }

    Map<Integer, KnownEndpoint> endpointsByHandle() {
        return endpointsByHandle;
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
