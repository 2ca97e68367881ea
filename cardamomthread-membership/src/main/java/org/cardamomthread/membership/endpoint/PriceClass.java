package org.cardamomthread.membership.endpoint;

/** Tells hosts that the platform may take back from those it may not. */
public enum PriceClass {
    /** The platform may reclaim the host. */
    RECLAIMABLE("reclaimable"),
    /** The host stays until stopped. */
    ON_DEMAND("on-demand");

    private final String text;

    PriceClass(String text) {
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
     * Finds a price class by its text.
     *
     * @param text the form used in announcements
     * @return the price class
     */
    public static PriceClass ofText(String text) {
        return TextForms.find(values(), PriceClass::text, "priceClass", text);
    }
}
