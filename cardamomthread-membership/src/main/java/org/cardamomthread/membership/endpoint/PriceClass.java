package org.cardamomthread.membership.endpoint;

/** Distinguishes hosts that the platform may reclaim from those it may not. */
public enum PriceClass {
    /** The platform may reclaim the host at any time. */
    RECLAIMABLE("reclaimable"),
    /** The host runs until it is stopped. */
    ON_DEMAND("on-demand");

    private final String wireName;

    PriceClass(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Returns the name of this price class in announcements.
     *
     * @return the wire name
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the price class with the given wire name.
     *
     * @param wireName the name used in announcements
     * @return the matching price class
     * @throws IllegalArgumentException if the name is unknown
     */
    public static PriceClass fromWireName(String wireName) {
        return WireNames.parse(values(), PriceClass::wireName, "priceClass", wireName);
    }
}
