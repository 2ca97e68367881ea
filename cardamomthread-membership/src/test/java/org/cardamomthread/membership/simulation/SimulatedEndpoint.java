package org.cardamomthread.membership.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointKind;
import org.cardamomthread.membership.endpoint.EndpointLoad;
import org.cardamomthread.membership.endpoint.EndpointState;
import org.cardamomthread.membership.endpoint.PriceClass;

/** Simulates an endpoint and records its requests in flight and concurrency limit over time. */
public final class SimulatedEndpoint {

    private record TimedValue(long fromMs, int value) {}

    private static final DataCentreId DATA_CENTRE = new DataCentreId("perth-a");

    private final EndpointId id;
    private final int warmConcurrencyLimit;
    private long incarnation = 1;
    private boolean up = true;
    private int inFlight;
    private long lastStartMs = -1;
    private int startCount;
    private final long clockOffsetMs;
    private final Deque<TimedValue> concurrencyLimitHistory = new ArrayDeque<>();
    private final Deque<TimedValue> inFlightHistory = new ArrayDeque<>();
    private EndpointState state = EndpointState.READY;
    private int concurrencyLimit;
    private long sequence;

    SimulatedEndpoint(String id, int warmConcurrencyLimit, long clockOffsetMs) {
        this.id = new EndpointId(id);
        this.warmConcurrencyLimit = warmConcurrencyLimit;
        this.clockOffsetMs = clockOffsetMs;
        setConcurrencyLimit(warmConcurrencyLimit, EndpointState.READY, 0);
    }

    public void setConcurrencyLimit(int newLimit, EndpointState newState, long nowMs) {
        concurrencyLimit = newLimit;
        state = newState;
        concurrencyLimitHistory.addLast(new TimedValue(nowMs, newLimit));
    }

    void stop(long nowMs) {
        up = false;
        inFlight = 0;
        setConcurrencyLimit(0, EndpointState.STARTING, nowMs);
        recordInFlight(nowMs);
    }

    void restart(int coldConcurrencyLimit, long nowMs) {
        up = true;
        incarnation++;
        sequence = 0;
        setConcurrencyLimit(coldConcurrencyLimit, EndpointState.COLD, nowMs);
    }

    void beginRequest(long nowMs) {
        inFlight++;
        startCount++;
        lastStartMs = nowMs;
        recordInFlight(nowMs);
    }

    void endRequest(long nowMs) {
        inFlight--;
        recordInFlight(nowMs);
    }

    /** Returns the highest concurrency limit within the window that ends now. */
    int maxConcurrencyLimit(long nowMs, long windowMs) {
        while (concurrencyLimitHistory.size() > 1 && secondLimitFromMs() <= nowMs - windowMs) {
            concurrencyLimitHistory.removeFirst();
        }
        return concurrencyLimitHistory.stream().mapToInt(TimedValue::value).max().orElse(0);
    }

    EndpointAnnouncement announce(long nowMs, long lagMs) {
        sequence++;
        int announcedLimit =
                state == EndpointState.LEAVING ? warmConcurrencyLimit : concurrencyLimit;
        EndpointLoad load =
                new EndpointLoad(
                        nowMs - lagMs + clockOffsetMs,
                        inFlightAt(nowMs - lagMs),
                        0,
                        announcedLimit,
                        0,
                        0,
                        0);
        EndpointDescription description =
                new EndpointDescription(
                        "127.0.0.1:9101",
                        EndpointKind.MODEL,
                        new EndpointClassId("gpu-small"),
                        PriceClass.RECLAIMABLE,
                        List.of(),
                        Set.of(),
                        state);
        return new EndpointAnnouncement(
                id, incarnation, sequence, DATA_CENTRE, description, load, List.of());
    }

    private long secondLimitFromMs() {
        return concurrencyLimitHistory.stream().skip(1).findFirst().orElseThrow().fromMs();
    }

    private void recordInFlight(long nowMs) {
        inFlightHistory.addLast(new TimedValue(nowMs, inFlight));
    }

    private int inFlightAt(long atMs) {
        int value = 0;
        while (inFlightHistory.size() > 1
                && inFlightHistory.stream().skip(1).findFirst().get().fromMs() <= atMs) {
            inFlightHistory.removeFirst();
        }
        if (!inFlightHistory.isEmpty() && inFlightHistory.peekFirst().fromMs() <= atMs) {
            value = inFlightHistory.peekFirst().value();
        }
        return value;
    }

    public EndpointId id() {
        return id;
    }

    int warmConcurrencyLimit() {
        return warmConcurrencyLimit;
    }

    long incarnation() {
        return incarnation;
    }

    public boolean isUp() {
        return up;
    }

    int inFlight() {
        return inFlight;
    }

    public long lastStartMs() {
        return lastStartMs;
    }

    public int startCount() {
        return startCount;
    }
}
