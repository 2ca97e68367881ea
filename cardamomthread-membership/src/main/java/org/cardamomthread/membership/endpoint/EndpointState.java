package org.cardamomthread.membership.endpoint;

/** States what an endpoint says of its own readiness. */
public enum EndpointState {
    /** Not serving yet. */
    STARTING("starting"),
    /** Serving. */
    READY("ready"),
    /** Serving, but with empty caches: bears little. */
    COLD("cold"),
    /** Finishes what it has and takes nothing new. */
    LEAVING("leaving");

    private final String text;

    EndpointState(String text) {
        this.text = text;
    }

    /**
     * Returns the form used in announcements.
     *
     * @return the text
     */
    public String text() {
        return text;
    }

    /**
     * Tells whether the endpoint takes new requests in this state.
     *
     * @return true for ready and cold
     */
    public boolean takesRequests() {
        return this == READY || this == COLD;
    }

    /**
     * Finds a state by its text.
     *
     * @param text the form used in announcements
     * @return the state
     */
    public static EndpointState ofText(String text) {
        return TextForms.find(values(), EndpointState::text, "state", text);
    }
}
