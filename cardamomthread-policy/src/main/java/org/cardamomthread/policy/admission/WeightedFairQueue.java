package org.cardamomthread.policy.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.policy.profile.Priority;

/**
 * Shares turns between client accounts by weight, urgent requests first.
 *
 * <p>Invariants: at most {@code capacity} requests wait. Among accounts that always have requests
 * waiting, the cost taken out is in proportion to their weights, whatever each of them offers. A
 * full queue keeps the request of an account that waits with less than others, relative to its
 * weight, and refuses the youngest one of the account that waits with most. An account without
 * requests takes no memory. Not safe for use by several threads.
 */
public final class WeightedFairQueue implements FairQueue {

    private static final long LEAST_RETRY_AFTER_MS = 100;
    private static final long LONGEST_RETRY_AFTER_MS = 30_000;

    private final int capacity;
    private final ToDoubleFunction<ClientAccountId> weights;
    private final DrainRate drainRate = new DrainRate();
    private final Map<Priority, Map<ClientAccountId, AccountQueue>> accounts = new HashMap<>();
    private final Map<Priority, Double> virtualTime = new HashMap<>();
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param capacity the most requests that wait, at least one
     * @param weights gives the weight of an account, above zero
     */
    public WeightedFairQueue(int capacity, ToDoubleFunction<ClientAccountId> weights) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity " + capacity + " must be 1 or more");
        }
        this.capacity = capacity;
        this.weights = Objects.requireNonNull(weights, "weights must be given");
        for (Priority priority : Priority.values()) {
            accounts.put(priority, new HashMap<>());
            virtualTime.put(priority, 0.0);
        }
    }

    @Override
    public List<AdmissionRefusal> offer(QueuedRequest request, long nowMs) {
        if (request.latestStartMs() <= nowMs) {
            return List.of(refusal(request, AdmissionRefusal.Reason.TOO_LATE));
        }
        if (size < capacity) {
            add(request);
            return List.of();
        }
        AccountQueue victim = victimFor(request);
        if (victim == null) {
            return List.of(refusal(request, AdmissionRefusal.Reason.QUEUE_FULL));
        }
        QueuedRequest displaced = victim.removeYoungest();
        size--;
        dropIfEmpty(displaced.priority(), displaced.account(), victim);
        add(request);
        return List.of(refusal(displaced, AdmissionRefusal.Reason.DISPLACED));
    }

    @Override
    public Optional<QueuedRequest> poll() {
        for (Priority priority : Priority.values()) {
            AccountQueue next = null;
            for (AccountQueue queue : accounts.get(priority).values()) {
                if (next == null || queue.headFinish() < next.headFinish()) {
                    next = queue;
                }
            }
            if (next != null) {
                virtualTime.put(priority, next.headStart());
                QueuedRequest request = next.removeOldest();
                size--;
                dropIfEmpty(priority, request.account(), next);
                return Optional.of(request);
            }
        }
        return Optional.empty();
    }

    /**
     * Notes that requests left the queue, from which the retry-after of refusals is derived.
     *
     * @param requests requests taken out
     * @param periodMs period in which they were, in milliseconds, above zero
     */
    public void onDrained(int requests, long periodMs) {
        drainRate.add(requests, periodMs);
    }

    @Override
    public List<AdmissionRefusal> expire(long nowMs) {
        List<AdmissionRefusal> refusals = new ArrayList<>();
        for (Map<ClientAccountId, AccountQueue> queues : accounts.values()) {
            Iterator<AccountQueue> iterator = queues.values().iterator();
            while (iterator.hasNext()) {
                AccountQueue queue = iterator.next();
                for (QueuedRequest late : queue.removeLate(nowMs)) {
                    size--;
                    refusals.add(refusal(late, AdmissionRefusal.Reason.TOO_LATE));
                }
                if (queue.isEmpty()) {
                    iterator.remove();
                }
            }
        }
        return refusals;
    }

    @Override
    public int size() {
        return size;
    }

    private void add(QueuedRequest request) {
        Map<ClientAccountId, AccountQueue> queues = accounts.get(request.priority());
        AccountQueue queue = queues.get(request.account());
        if (queue == null) {
            double weight = weights.applyAsDouble(request.account());
            queue = new AccountQueue(weight, virtualTime.get(request.priority()));
            queues.put(request.account(), queue);
        }
        queue.add(request);
        size++;
    }

    /** Finds the account whose youngest request gives way, or null if none does. */
    private AccountQueue victimFor(QueuedRequest request) {
        if (request.priority() == Priority.URGENT) {
            AccountQueue patient = largest(Priority.PATIENT);
            if (patient != null) {
                return patient;
            }
        }
        AccountQueue largest = largest(request.priority());
        if (largest == null) {
            return null;
        }
        AccountQueue own = accounts.get(request.priority()).get(request.account());
        double weight = weights.applyAsDouble(request.account());
        double waiting = own == null ? 0 : own.relativeCost();
        return waiting + request.cost() / weight < largest.relativeCost() ? largest : null;
    }

    private AccountQueue largest(Priority priority) {
        AccountQueue largest = null;
        for (AccountQueue queue : accounts.get(priority).values()) {
            if (largest == null || queue.relativeCost() > largest.relativeCost()) {
                largest = queue;
            }
        }
        return largest;
    }

    private void dropIfEmpty(Priority priority, ClientAccountId account, AccountQueue queue) {
        if (queue.isEmpty()) {
            accounts.get(priority).remove(account);
        }
    }

    private AdmissionRefusal refusal(QueuedRequest request, AdmissionRefusal.Reason reason) {
        long waitMs = drainRate.timeForMs(size);
        long retryAfterMs =
                Math.min(LONGEST_RETRY_AFTER_MS, Math.max(LEAST_RETRY_AFTER_MS, waitMs));
        return new AdmissionRefusal(request, reason, retryAfterMs);
    }
}
