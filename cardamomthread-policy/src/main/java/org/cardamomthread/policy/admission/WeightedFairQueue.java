package org.cardamomthread.policy.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.ObjIntConsumer;
import java.util.function.ToDoubleFunction;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.policy.profile.Priority;

/**
 * Implements weighted fair queueing between client accounts, with urgent requests before all
 * others.
 *
 * <p>At most {@code capacity} requests wait. For accounts that always have requests waiting, the
 * cost of the requests served is proportional to the weights of the accounts, however many requests
 * each of them adds. If the queue is full, an urgent request displaces a deferrable one, and
 * otherwise a request of an account displaces the newest request of the account with the highest
 * queued cost relative to its weight, if its own account stays below that. An account without
 * waiting requests occupies no memory. Not thread-safe.
 */
public final class WeightedFairQueue implements FairQueue {

    private static final long MIN_RETRY_AFTER_MS = 100;
    private static final long MAX_RETRY_AFTER_MS = 30_000;

    private final int capacity;
    private final ToDoubleFunction<ClientAccountId> weights;
    private final DrainRate drainRate = new DrainRate();
    private final Map<Priority, Map<ClientAccountId, AccountQueue>> queuesByPriority =
            new HashMap<>();
    private final Map<Priority, Double> virtualTimeByPriority = new HashMap<>();
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param capacity maximum number of waiting requests, at least one
     * @param weights function that returns the weight of an account, above zero
     */
    public WeightedFairQueue(int capacity, ToDoubleFunction<ClientAccountId> weights) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity " + capacity + " must be 1 or more");
        }
        this.capacity = capacity;
        this.weights = Objects.requireNonNull(weights, "weights must not be null");
        for (Priority priority : Priority.values()) {
            queuesByPriority.put(priority, new HashMap<>());
            virtualTimeByPriority.put(priority, 0.0);
        }
    }

    @Override
    public List<AdmissionRefusal> offer(QueuedRequest request, long nowMs) {
        if (request.latestStartMs() <= nowMs) {
            return List.of(createRefusal(request, AdmissionRefusal.Reason.TOO_LATE));
        }
        if (size < capacity) {
            add(request);
            return List.of();
        }
        AccountQueue victim = selectVictim(request);
        if (victim == null) {
            return List.of(createRefusal(request, AdmissionRefusal.Reason.QUEUE_FULL));
        }
        QueuedRequest displaced = removeNewest(victim);
        add(request);
        return List.of(createRefusal(displaced, AdmissionRefusal.Reason.DISPLACED));
    }

    @Override
    public Optional<QueuedRequest> poll() {
        for (Priority priority : Priority.values()) {
            AccountQueue next = findNext(priority);
            if (next != null) {
                virtualTimeByPriority.put(priority, next.headVirtualStart());
                QueuedRequest request = next.removeOldest();
                size--;
                removeIfEmpty(priority, request.account(), next);
                return Optional.of(request);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the next request without removing it.
     *
     * @return next request, or empty if none is waiting
     */
    public Optional<QueuedRequest> peek() {
        for (Priority priority : Priority.values()) {
            AccountQueue next = findNext(priority);
            if (next != null) {
                return Optional.of(next.oldest());
            }
        }
        return Optional.empty();
    }

    /**
     * Removes a request from any position.
     *
     * @param request the request
     * @return false if it does not wait here
     */
    public boolean remove(QueuedRequest request) {
        AccountQueue queue = queuesByPriority.get(request.priority()).get(request.account());
        if (queue == null || !queue.remove(request)) {
            return false;
        }
        size--;
        removeIfEmpty(request.priority(), request.account(), queue);
        return true;
    }

    /** Removes the newest request of the account with the highest queued cost for its weight. */
    Optional<QueuedRequest> removeNewestOfLargest(Priority priority) {
        return Optional.ofNullable(findLargestQueue(priority)).map(this::removeNewest);
    }

    /**
     * Removes the request that another one may displace, which is not one of an account that is
     * below its share.
     */
    Optional<QueuedRequest> removeDisplacedBy(QueuedRequest request) {
        return Optional.ofNullable(selectVictim(request)).map(this::removeNewest);
    }

    /** Estimates how many requests of the same priority would be served before a new request. */
    int estimateAhead(QueuedRequest request) {
        Map<ClientAccountId, AccountQueue> queues = queuesByPriority.get(request.priority());
        AccountQueue own = queues.get(request.account());
        double virtualFinish =
                own == null
                        ? virtualTimeByPriority.get(request.priority())
                                + request.cost() / weights.applyAsDouble(request.account())
                        : own.virtualFinishOf(request);
        return (own == null ? 0 : own.size()) + estimateOthersAhead(queues, own, virtualFinish);
    }

    /**
     * Passes each waiting request of a priority with the estimated number of requests of the same
     * priority that are served before it.
     */
    void forEach(Priority priority, ObjIntConsumer<QueuedRequest> action) {
        Map<ClientAccountId, AccountQueue> queues = queuesByPriority.get(priority);
        for (AccountQueue own : queues.values()) {
            int[] ownAhead = new int[1];
            own.forEach(
                    (request, virtualFinish) ->
                            action.accept(
                                    request,
                                    ownAhead[0]++
                                            + estimateOthersAhead(queues, own, virtualFinish)));
        }
    }

    private static int estimateOthersAhead(
            Map<ClientAccountId, AccountQueue> queues, AccountQueue own, double virtualFinish) {
        double ahead = 0;
        for (AccountQueue queue : queues.values()) {
            if (queue != own) {
                ahead += queue.estimateFinishedBy(virtualFinish);
            }
        }
        return (int) ahead;
    }

    private AccountQueue findNext(Priority priority) {
        AccountQueue next = null;
        for (AccountQueue queue : queuesByPriority.get(priority).values()) {
            if (next == null || queue.headVirtualFinish() < next.headVirtualFinish()) {
                next = queue;
            }
        }
        return next;
    }

    private QueuedRequest removeNewest(AccountQueue queue) {
        QueuedRequest newest = queue.removeNewest();
        size--;
        removeIfEmpty(newest.priority(), newest.account(), queue);
        return newest;
    }

    /**
     * Records how many requests left the queue; the recommended retry delay of refusals is derived
     * from this rate.
     *
     * @param requests number of requests that left the queue
     * @param periodMs length of the period in which they left, in milliseconds, above zero
     */
    public void onDrained(int requests, long periodMs) {
        drainRate.add(requests, periodMs);
    }

    @Override
    public List<AdmissionRefusal> expire(long nowMs) {
        List<AdmissionRefusal> refusals = new ArrayList<>();
        for (Map<ClientAccountId, AccountQueue> queues : queuesByPriority.values()) {
            Iterator<AccountQueue> iterator = queues.values().iterator();
            while (iterator.hasNext()) {
                AccountQueue queue = iterator.next();
                for (QueuedRequest expired : queue.removeExpired(nowMs)) {
                    size--;
                    refusals.add(createRefusal(expired, AdmissionRefusal.Reason.TOO_LATE));
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

    /** Adds a request without regard to the capacity and to its latest start. */
    void add(QueuedRequest request) {
        Map<ClientAccountId, AccountQueue> queues = queuesByPriority.get(request.priority());
        AccountQueue queue = queues.get(request.account());
        if (queue == null) {
            double weight = weights.applyAsDouble(request.account());
            queue = new AccountQueue(weight, virtualTimeByPriority.get(request.priority()));
            queues.put(request.account(), queue);
        }
        queue.add(request);
        size++;
    }

    /** Selects the account whose newest request is displaced, or returns null if none is. */
    private AccountQueue selectVictim(QueuedRequest request) {
        if (request.priority() == Priority.URGENT) {
            AccountQueue largestDeferrableQueue = findLargestQueue(Priority.PATIENT);
            if (largestDeferrableQueue != null) {
                return largestDeferrableQueue;
            }
        }
        AccountQueue largest = findLargestQueue(request.priority());
        if (largest == null) {
            return null;
        }
        AccountQueue ownQueue = queuesByPriority.get(request.priority()).get(request.account());
        double weight = weights.applyAsDouble(request.account());
        double ownWeightedCost = ownQueue == null ? 0 : ownQueue.weightedCost();
        return ownWeightedCost + request.cost() / weight < largest.weightedCost() ? largest : null;
    }

    private AccountQueue findLargestQueue(Priority priority) {
        AccountQueue largest = null;
        for (AccountQueue queue : queuesByPriority.get(priority).values()) {
            if (largest == null || queue.weightedCost() > largest.weightedCost()) {
                largest = queue;
            }
        }
        return largest;
    }

    private void removeIfEmpty(Priority priority, ClientAccountId account, AccountQueue queue) {
        if (queue.isEmpty()) {
            queuesByPriority.get(priority).remove(account);
        }
    }

    private AdmissionRefusal createRefusal(QueuedRequest request, AdmissionRefusal.Reason reason) {
        long drainMs = drainRate.estimateDrainMs(size);
        long retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs));
        return new AdmissionRefusal(request, reason, retryAfterMs);
    }
}
