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
 * Holds the attempts of one service that wait for an endpoint: further attempts first, then urgent
 * before patient ones, in fair shares between client accounts.
 *
 * <p>Not safe for use by several threads.
 */
final class ServiceQueue {

    private static final int CAPACITY = 10_000;

    private final WeightedFairQueue fair;
    private final Deque<WaitingCall> retries = new ArrayDeque<>();
    private final Map<RequestId, WaitingCall> waiting = new HashMap<>();
    private WaitingCall head;

    ServiceQueue(ToDoubleFunction<ClientAccountId> weights) {
        fair = new WeightedFairQueue(CAPACITY, weights);
    }

    /** Adds an attempt and returns those that give way. */
    List<WaitingCall> offer(WaitingCall call, long nowMs) {
        if (call.request().isRetry()) {
            retries.addLast(call);
            return List.of();
        }
        waiting.put(call.queued().id(), call);
        List<WaitingCall> refused = take(fair.offer(call.queued(), nowMs));
        boolean isOvertaken =
                head != null
                        && head.queued().priority() == Priority.PATIENT
                        && call.queued().priority() == Priority.URGENT;
        if (isOvertaken) {
            refused.addAll(take(fair.offer(head.queued(), nowMs)));
            head = null;
        }
        return refused;
    }

    /** Returns the attempt whose turn it is without taking it out. */
    Optional<WaitingCall> peek() {
        if (!retries.isEmpty()) {
            return Optional.of(retries.getFirst());
        }
        while (head == null) {
            var next = fair.poll();
            if (next.isEmpty()) {
                return Optional.empty();
            }
            head = waiting.get(next.get().id());
        }
        return Optional.of(head);
    }

    /** Takes out the attempt that {@link #peek()} returned. */
    void removeFirst() {
        if (!retries.isEmpty()) {
            retries.removeFirst();
            return;
        }
        waiting.remove(head.queued().id());
        head = null;
    }

    /** Takes an attempt out wherever it is. */
    void remove(WaitingCall call) {
        if (retries.remove(call)) {
            return;
        }
        waiting.remove(call.queued().id());
        if (call == head) {
            head = null;
        }
    }

    /** Takes out and returns the attempts that have waited too long. */
    List<WaitingCall> expire(long nowMs) {
        List<WaitingCall> late = take(fair.expire(nowMs));
        if (head != null && head.queued().latestStartMs() <= nowMs) {
            late.add(head);
            remove(head);
        }
        Iterator<WaitingCall> iterator = retries.iterator();
        while (iterator.hasNext()) {
            WaitingCall retry = iterator.next();
            if (retry.queued().latestStartMs() <= nowMs) {
                late.add(retry);
                iterator.remove();
            }
        }
        return late;
    }

    int size() {
        return waiting.size() + retries.size();
    }

    private List<WaitingCall> take(List<AdmissionRefusal> refusals) {
        List<WaitingCall> calls = new ArrayList<>();
        for (AdmissionRefusal refusal : refusals) {
            WaitingCall call = waiting.remove(refusal.request().id());
            if (call != null) {
                calls.add(call);
            }
        }
        return calls;
    }
}
