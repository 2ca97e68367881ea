package org.cardamomthread.policy.availability;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.policy.availability.Availability.State;

/**
 * Decides whether a node may send requests to an endpoint, from the endpoint's reports and from
 * what it has stated in its responses to this node.
 *
 * <p>Reports lag behind responses, so that an endpoint that has stated that it leaves stays
 * unavailable, whatever the reports of the same incarnation say. It answers the load of an endpoint
 * that is overloaded or about to stop: the requests of this node go elsewhere at once instead of
 * being rejected there.
 *
 * <p>Invariants: a statement applies to the incarnation that made it only; a pause is never
 * shortened; statements are kept for at most {@value #MAX_ENDPOINTS} incarnations, each for at most
 * {@value #RETENTION_MS} ms after its last one. Thread-safe.
 */
public final class EndpointAvailability {

    /** Maximum number of incarnations whose statements are kept. */
    public static final int MAX_ENDPOINTS = 4_096;

    /** Time for which statements are kept; longer than an endpoint takes to leave. */
    public static final long RETENTION_MS = 3_600_000;

    private final Map<Incarnation, Statements> statements = new LinkedHashMap<>();

    /**
     * Identifies one start of an endpoint. Immutable.
     *
     * @param endpoint the endpoint
     * @param number distinguishes its starts
     */
    public record Incarnation(EndpointId endpoint, long number) {

        /** Validates the components. */
        public Incarnation {
            Objects.requireNonNull(endpoint, "endpoint must not be null");
        }
    }

    /** What an endpoint has reported to the control nodes. */
    public enum ReportedState {
        /** It accepts requests. */
        ACCEPTING,
        /** It accepts no new requests. */
        DRAINING,
        /** Its data centre is out of service. */
        OUT_OF_SERVICE
    }

    /** Holds what one incarnation has stated in its responses. */
    private static final class Statements {
        private boolean isLeaving;
        private long heldBackUntilMs;
        private long lastMs;
    }

    /**
     * Records that an endpoint has stated that it leaves.
     *
     * @param incarnation the endpoint that responded
     * @param nowMs monotonic time, in milliseconds
     * @return true if it had not stated this before
     */
    public synchronized boolean recordLeaving(Incarnation incarnation, long nowMs) {
        Statements known = statementsOf(incarnation, nowMs);
        boolean isNew = !known.isLeaving;
        known.isLeaving = true;
        return isNew;
    }

    /**
     * Records that an endpoint has rejected a request and asked for a pause.
     *
     * @param incarnation the endpoint that responded
     * @param pauseMs time for which it wants no requests from this node, in milliseconds
     * @param nowMs monotonic time, in milliseconds
     */
    public synchronized void recordPause(Incarnation incarnation, long pauseMs, long nowMs) {
        Statements known = statementsOf(incarnation, nowMs);
        known.heldBackUntilMs = Math.max(known.heldBackUntilMs, nowMs + pauseMs);
    }

    /**
     * Returns whether requests may be sent to an endpoint.
     *
     * @param incarnation the endpoint
     * @param reported what it has reported
     * @param nowMs monotonic time, in milliseconds
     * @return its availability to this node
     */
    public synchronized Availability assess(
            Incarnation incarnation, ReportedState reported, long nowMs) {
        if (reported == ReportedState.OUT_OF_SERVICE) {
            return Availability.of(State.OUT_OF_SERVICE);
        }
        if (reported == ReportedState.DRAINING) {
            return Availability.of(State.DRAINING);
        }
        Statements known = statements.get(incarnation);
        if (known == null) {
            return Availability.AVAILABLE;
        }
        if (known.isLeaving) {
            return Availability.of(State.LEAVING);
        }
        return nowMs < known.heldBackUntilMs
                ? new Availability(State.HELD_BACK, known.heldBackUntilMs)
                : Availability.AVAILABLE;
    }

    /**
     * Returns whether an endpoint that accepts requests by its reports may be sent some, without
     * allocating.
     *
     * @param incarnation the endpoint
     * @param nowMs monotonic time, in milliseconds
     * @return false if it has stated that it leaves, or asked for a pause that has not passed
     */
    public synchronized boolean isAvailable(Incarnation incarnation, long nowMs) {
        Statements known = statements.get(incarnation);
        return known == null || !known.isLeaving && nowMs >= known.heldBackUntilMs;
    }

    /**
     * Returns the endpoints that have stated that they leave.
     *
     * @return the incarnations, the earliest statement first
     */
    public synchronized List<Incarnation> listLeaving() {
        return statements.entrySet().stream()
                .filter(entry -> entry.getValue().isLeaving)
                .map(Map.Entry::getKey)
                .toList();
    }

    private Statements statementsOf(Incarnation incarnation, long nowMs) {
        Statements known = statements.remove(incarnation);
        statements.values().removeIf(kept -> nowMs - kept.lastMs > RETENTION_MS);
        if (statements.size() >= MAX_ENDPOINTS) {
            statements.remove(statements.keySet().iterator().next());
        }
        Statements updated = known == null ? new Statements() : known;
        updated.lastMs = nowMs;
        statements.put(incarnation, updated);
        return updated;
    }
}
