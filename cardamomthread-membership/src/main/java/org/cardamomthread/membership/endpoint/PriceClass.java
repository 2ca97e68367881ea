package org.cardamomthread.membership.endpoint;

/** Distinguishes hosts that the platform may reclaim from those it may not. */
public enum PriceClass {
    /** The platform may reclaim the host at any time. */
    RECLAIMABLE("reclaimable"),
    /** The host runs until it is stopped. */
    ON_DEMAND("on-demand");

    private final String text;

    PriceClass(String text) {
        this.text = text;
    }

    /**
     * Returns the name of this price class in announcements.
     *
     * @return the wire name
     */
    public String text() {
        return text;
    }

    /**
     * Returns the price class with the given wire name.
     *
     * @param text the wire name used in announcements
     * @return the matching price class
     * @throws IllegalArgumentException if the name is unknown
     */
    public static PriceClass ofText(String text) {
        return WireNames.parse(values(), PriceClass::text, "priceClass", text);
    }
}
