package org.cardamomthread.experiments.replay;

import org.cardamomthread.core.id.RouteId;

/** Names what is wrong with a new version. Immutable. */
enum MoveFault {
    /** Nothing is wrong. */
    NONE,
    /** Nothing is wrong, but each endpoint is slow for its first two minutes. */
    SLOW_START,
    /** Nine of ten calls fail. */
    FAILS,
    /** Three of ten calls fail. */
    FAILS_PARTLY,
    /** The first token always comes late. */
    SLOW,
    /** Eight of ten calls fail after ten minutes. */
    LATE,
    /** Nine of ten calls of one route fail. */
    ONE_ROUTE,
    /** Six of ten calls fail once the version gets a quarter of the calls. */
    UNDER_LOAD;

    private static final long LATE_MS = 600_000;
    private static final double LOAD_SHARE = 0.25;

    boolean isGood() {
        return this == NONE || this == SLOW_START;
    }

    /** Returns the share of calls that fail by the fault. */
    double failures(RouteId route, RouteId badRoute, long nowMs, double share) {
        return switch (this) {
            case FAILS -> 0.9;
            case FAILS_PARTLY -> 0.3;
            case LATE -> nowMs >= LATE_MS ? 0.8 : 0;
            case ONE_ROUTE -> route.equals(badRoute) ? 0.9 : 0;
            case UNDER_LOAD -> share >= LOAD_SHARE ? 0.6 : 0;
            default -> 0;
        };
    }
}
