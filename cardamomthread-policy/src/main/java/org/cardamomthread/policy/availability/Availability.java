package org.cardamomthread.policy.availability;

import java.util.Objects;

/**
 * Tells whether a node may send requests to an endpoint. Immutable.
 *
 * @param state why it may, or may not
 * @param availableAtMs when a held-back endpoint becomes available, in monotonic milliseconds; 0
 *     for every other state
 */
public record Availability(State state, long availableAtMs) {

    /** The states of an endpoint. */
    public enum State {
        /** Requests may be sent. */
        AVAILABLE,
        /** The endpoint has asked this node for a pause, which has not passed yet. */
        HELD_BACK,
        /** The endpoint has stated in a response that it leaves. */
        LEAVING,
        /** The endpoint has reported that it accepts no new requests. */
        DRAINING,
        /** The data centre of the endpoint is out of service. */
        OUT_OF_SERVICE
    }

    static final Availability AVAILABLE = new Availability(State.AVAILABLE, 0);

    /** Validates the components. */
    public Availability {
        Objects.requireNonNull(state, "state must not be null");
    }

    static Availability of(State state) {
        return new Availability(state, 0);
    }

    /**
     * Returns whether requests may be sent.
     *
     * @return true if the endpoint is available
     */
    public boolean isAvailable() {
        return state == State.AVAILABLE;
    }
}
