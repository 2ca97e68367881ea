package org.cardamomthread.membership.endpoint;

/** Enumerates the readiness states that an endpoint reports. */
public enum EndpointState {
    /** Not yet able to serve requests. */
    STARTING("starting"),
    /** Serving requests at full capacity. */
    READY("ready"),
    /** Serving requests at reduced capacity because its caches are empty. */
    COLD("cold"),
    /** Completes the requests in flight and accepts no new ones. */
    LEAVING("leaving");

    private final String wireName;

    EndpointState(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name of this state in announcements.
     *
     * @return the wire name
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns whether the endpoint accepts new requests in this state.
     *
     * @return true for {@link #READY} and {@link #COLD}
     */
    public boolean acceptsRequests() {
        return this == READY || this == COLD;
    }

    /**
     * Returns the state with the given wire name.
     *
     * @param wireName the name used in announcements
     * @return the matching state
     * @throws IllegalArgumentException if the name is unknown
     */
    public static EndpointState fromWireName(String wireName) {
        return WireNames.parse(values(), EndpointState::wireName, "state", wireName);
    }
}
