package org.cardamomthread.membership.endpoint;

import java.util.Arrays;
import java.util.Optional;

/** Enumerates the optional features that an endpoint may support. */
public enum Capability {
    /** Rejects commands that carry an outdated fencing number. */
    FENCING("fencing"),
    /** Authenticates the sender of each command. */
    CHECKS_SENDER("checksSender"),
    /** Resumes an interrupted response after the text that was already delivered. */
    RESUME("resume"),
    /** Exports and imports KV cache entries. */
    KV_TRANSFER("kvTransfer");

    private final String wireName;

    Capability(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name of this capability in announcements.
     *
     * @return the wire name
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the capability with the given wire name. Endpoints may announce capabilities that
     * this version does not know.
     *
     * @param wireName the name used in announcements
     * @return the capability, or empty if the name is unknown
     */
    public static Optional<Capability> fromWireName(String wireName) {
        return Arrays.stream(values()).filter(value -> value.wireName.equals(wireName)).findFirst();
    }
}
