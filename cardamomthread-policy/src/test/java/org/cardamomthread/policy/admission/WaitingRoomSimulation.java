package org.cardamomthread.policy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongToIntFunction;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.Priority;

/**
 * Plays requests against a {@link WaitingRoom} in front of a number of slots, in steps of one
 * millisecond. A request runs in a slot for its service time; none is sent again after a refusal.
 */
final class WaitingRoomSimulation {

    private static final long TICK_MS = 50;

    /** One kind of request: of one account and priority level, at regular intervals. */
    record Kind(
            String name,
            int level,
            double perS,
            long serviceMs,
            double cost,
            long objectiveMs,
            long timeLimitMs) {}

    /** What happened to one request; the times are -1 if it did not come to that. */
    record Outcome(Kind kind, long receivedMs, long startedMs, long refusedMs, long retryAfterMs) {

        boolean isServed() {
            return startedMs >= 0;
        }

        long waitedMs() {
            return startedMs - receivedMs;
        }
    }

    private final LongToIntFunction slotsAtMs;
    private final WaitingRoom room;
    private final Map<RequestId, Integer> waiting = new HashMap<>();
    private final PriorityQueue<long[]> running =
            new PriorityQueue<>(Comparator.comparingLong(end -> end[0]));
    private final List<Outcome> outcomes = new ArrayList<>();
    private int nextId;

    WaitingRoomSimulation(int maxRequests, long seed, LongToIntFunction slotsAtMs) {
        this.slotsAtMs = slotsAtMs;
        room =
                new WaitingRoom(
                        new WaitingBudget(maxRequests, 4_000_000), new SplittableRandom(seed));
    }

    /** Plays the kinds from one time to another and returns all outcomes up to now. */
    List<Outcome> play(long fromMs, long toMs, List<Kind> kinds) {
        for (long nowMs = fromMs; nowMs < toMs; nowMs++) {
            while (!running.isEmpty() && running.peek()[0] <= nowMs) {
                room.recordEnd(running.poll()[1], true);
            }
            for (Kind kind : kinds) {
                long before = (long) ((nowMs - fromMs) * kind.perS() / 1_000);
                long after = (long) ((nowMs - fromMs + 1) * kind.perS() / 1_000);
                for (long i = before; i < after; i++) {
                    arrive(kind, nowMs);
                }
            }
            if (nowMs % TICK_MS == 0 || hasSlot(nowMs)) {
                refuse(room.recheck(nowMs), nowMs);
            }
            while (hasSlot(nowMs) && room.size() > 0) {
                WaitingRequest next = room.poll(nowMs).orElseThrow();
                run(waiting.remove(next.entry().id()), nowMs);
            }
        }
        return outcomes;
    }

    private void arrive(Kind kind, long nowMs) {
        outcomes.add(new Outcome(kind, nowMs, -1, -1, -1));
        int index = outcomes.size() - 1;
        if (room.size() == 0 && hasSlot(nowMs)) {
            run(index, nowMs);
            return;
        }
        RequestId id = new RequestId("w" + nextId++);
        waiting.put(id, index);
        QueuedRequest entry =
                new QueuedRequest(
                        id,
                        new ClientAccountId(kind.name()),
                        Priority.URGENT,
                        kind.cost(),
                        nowMs + kind.timeLimitMs() - kind.serviceMs());
        refuse(
                room.offer(
                        new WaitingRequest(
                                entry,
                                kind.level(),
                                nowMs,
                                kind.objectiveMs(),
                                kind.timeLimitMs() - kind.serviceMs(),
                                1_000),
                        nowMs),
                nowMs);
    }

    int waitingCount() {
        return room.size();
    }

    private boolean hasSlot(long nowMs) {
        return running.size() < slotsAtMs.applyAsInt(nowMs);
    }

    private void run(int index, long nowMs) {
        Outcome received = outcomes.get(index);
        outcomes.set(index, new Outcome(received.kind(), received.receivedMs(), nowMs, -1, -1));
        long serviceMs = received.kind().serviceMs();
        room.recordStart();
        running.add(new long[] {nowMs + serviceMs, serviceMs});
    }

    private void refuse(List<AdmissionRefusal> refusals, long nowMs) {
        for (AdmissionRefusal refusal : refusals) {
            int index = waiting.remove(refusal.request().id());
            Outcome received = outcomes.get(index);
            outcomes.set(
                    index,
                    new Outcome(
                            received.kind(),
                            received.receivedMs(),
                            -1,
                            nowMs,
                            refusal.retryAfterMs()));
        }
    }
}
