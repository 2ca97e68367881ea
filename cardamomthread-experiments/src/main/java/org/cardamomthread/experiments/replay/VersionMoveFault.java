package org.cardamomthread.experiments.replay;

import org.cardamomthread.core.id.RouteId;

/** Faults of a new version in a simulated version move. */
enum VersionMoveFault {
    /** No fault. */
    NONE,
    /** No fault, but each endpoint is slow for its first two minutes. */
    SLOW_START,
    /** Nine of ten calls fail. */
    FAILS,
    /** Three of ten calls fail. */
    FAILS_PARTLY,
    /** Every first token exceeds the latency target. */
    SLOW,
    /** Eight of ten calls fail after ten minutes. */
    LATE,
    /** Nine of ten calls of one route fail. */
    ONE_ROUTE,
    /** Six of ten calls fail once the version receives a quarter of the calls. */
    UNDER_LOAD;

    private static final long LATE_FAULT_START_MS = 600_000;
    private static final double UNDER_LOAD_MIN_SHARE = 0.25;

    boolean isAcceptable() {
        return this == NONE || this == SLOW_START;
    }

    /** Returns the share of calls that fail because of the fault. */
    double failureRate(RouteId route, RouteId faultyRoute, long nowMs, double versionShare) {
        return switch (this) {
            case FAILS -> 0.9;
            case FAILS_PARTLY -> 0.3;
            case LATE -> nowMs >= LATE_FAULT_START_MS ? 0.8 : 0;
            case ONE_ROUTE -> route.equals(faultyRoute) ? 0.9 : 0;
            case UNDER_LOAD -> versionShare >= UNDER_LOAD_MIN_SHARE ? 0.6 : 0;
            default -> 0;
        };
    }
}
