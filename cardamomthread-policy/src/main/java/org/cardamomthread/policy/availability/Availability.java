package org.cardamomthread.policy.availability;

import java.util.Collection;
import java.util.Objects;
import java.util.OptionalLong;

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
     * Returns the time until the first of the endpoints of a service is available again.
     *
     * @param endpoints the availability of each of them
     * @param nowMs monotonic time, in milliseconds
     * @return the time in milliseconds, or empty if one is available, or none is merely held back
     */
    public static OptionalLong pauseMs(Collection<Availability> endpoints, long nowMs) {
        if (endpoints.stream().anyMatch(Availability::isAvailable)) {
            return OptionalLong.empty();
        }
        return endpoints.stream()
                .filter(endpoint -> endpoint.state() == State.HELD_BACK)
                .mapToLong(endpoint -> Math.max(0, endpoint.availableAtMs() - nowMs))
                .min();
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
