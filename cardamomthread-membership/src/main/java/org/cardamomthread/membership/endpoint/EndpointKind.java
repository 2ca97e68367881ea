package org.cardamomthread.membership.endpoint;

/** Distinguishes language model engines from ordinary applications. */
public enum EndpointKind {
    /** Serves a language model. */
    MODEL("model"),
    /** Serves an ordinary application. */
    SERVICE("service");

    private final String wireName;

    EndpointKind(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name of this kind in announcements.
     *
     * @return the wire name
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the kind with the given wire name.
     *
     * @param wireName the name used in announcements
     * @return the matching kind
     * @throws IllegalArgumentException if the name is unknown
     */
    public static EndpointKind fromWireName(String wireName) {
        return WireNames.parse(values(), EndpointKind::wireName, "kind", wireName);
    }
}
