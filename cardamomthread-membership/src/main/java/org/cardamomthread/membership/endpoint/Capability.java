package org.cardamomthread.membership.endpoint;

import java.util.Arrays;
import java.util.Optional;

/** Names an optional ability of an endpoint. */
public enum Capability {
    /** Refuses orders with an old fencing number. */
    FENCING("fencing"),
    /** Checks who gives it an order. */
    CHECKS_SENDER("checksSender"),
    /** Continues an answer after a delivered text. */
    RESUME("resume"),
    /** Exports and imports KV cache. */
    KV_TRANSFER("kvTransfer");

    private final String text;

    Capability(String text) {
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
     * Finds a capability by its text; endpoints may announce ones unknown here.
     *
     * @param text the form used in announcements
     * @return the capability, or empty if unknown
     */
    public static Optional<Capability> ofText(String text) {
        return Arrays.stream(values()).filter(value -> value.text.equals(text)).findFirst();
    }
}
