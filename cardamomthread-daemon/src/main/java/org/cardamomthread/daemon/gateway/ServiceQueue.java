package org.cardamomthread.daemon.gateway;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.admission.AdmissionRefusal;
import org.cardamomthread.policy.admission.WeightedFairQueue;
import org.cardamomthread.policy.profile.Priority;

/**
 * Queues the attempts of one service that wait for an endpoint: retries first, then urgent before
 * patient attempts, shared fairly between client accounts.
 *
 * <p>Not thread-safe.
 */
final class ServiceQueue {

    private static final int MAX_QUEUED_ATTEMPTS = 10_000;

    private final WeightedFairQueue fairQueue;
    private final Deque<QueuedAttempt> retries = new ArrayDeque<>();
    private final Map<RequestId, QueuedAttempt> queuedById = new HashMap<>();
    private QueuedAttempt head;

    ServiceQueue(ToDoubleFunction<ClientAccountId> weights) {
        fairQueue = new WeightedFairQueue(MAX_QUEUED_ATTEMPTS, weights);
    }

    /** Adds an attempt and returns the attempts that are refused because the queue is full. */
    List<QueuedAttempt> offer(QueuedAttempt attempt, long nowMs) {
        if (attempt.request().isRetry()) {
            retries.addLast(attempt);
            return List.of();
        }
        queuedById.put(attempt.queueEntry().id(), attempt);
        List<QueuedAttempt> refused = removeRefused(fairQueue.offer(attempt.queueEntry(), nowMs));
        // The fair queue has already released the head, so an urgent attempt could not overtake it.
        boolean isHeadOvertaken =
                head != null
                        && head.queueEntry().priority() == Priority.PATIENT
                        && attempt.queueEntry().priority() == Priority.URGENT;
        if (isHeadOvertaken) {
            refused.addAll(removeRefused(fairQueue.offer(head.queueEntry(), nowMs)));
            head = null;
        }
        return refused;
    }

    /** Returns the next attempt without removing it. */
    Optional<QueuedAttempt> peek() {
        if (!retries.isEmpty()) {
            return Optional.of(retries.getFirst());
        }
        while (head == null) {
            var next = fairQueue.poll();
            if (next.isEmpty()) {
                return Optional.empty();
            }
            head = queuedById.get(next.get().id());
        }
        return Optional.of(head);
    }

    /** Removes the attempt that {@link #peek()} returned. */
    void removeFirst() {
        if (!retries.isEmpty()) {
            retries.removeFirst();
            return;
        }
        queuedById.remove(head.queueEntry().id());
        head = null;
    }

    /** Removes an attempt from any position; has no effect if it is not queued. */
    void remove(QueuedAttempt attempt) {
        if (retries.remove(attempt)) {
            return;
        }
        queuedById.remove(attempt.queueEntry().id());
        if (attempt == head) {
            head = null;
        }
    }

    /** Removes and returns the attempts whose maximum wait has elapsed. */
    List<QueuedAttempt> expire(long nowMs) {
        List<QueuedAttempt> expired = removeRefused(fairQueue.expire(nowMs));
        if (head != null && head.queueEntry().latestStartMs() <= nowMs) {
            expired.add(head);
            remove(head);
        }
        Iterator<QueuedAttempt> iterator = retries.iterator();
        while (iterator.hasNext()) {
            QueuedAttempt retry = iterator.next();
            if (retry.queueEntry().latestStartMs() <= nowMs) {
                expired.add(retry);
                iterator.remove();
            }
        }
        return expired;
    }

    int size() {
        return queuedById.size() + retries.size();
    }

    private List<QueuedAttempt> removeRefused(List<AdmissionRefusal> refusals) {
        List<QueuedAttempt> removed = new ArrayList<>();
        for (AdmissionRefusal refusal : refusals) {
            QueuedAttempt attempt = queuedById.remove(refusal.request().id());
            if (attempt != null) {
                removed.add(attempt);
            }
        }
        return removed;
    }
}
