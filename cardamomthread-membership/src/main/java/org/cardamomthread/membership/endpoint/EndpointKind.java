package org.cardamomthread.membership.endpoint;

/** Tells model engines from plain services. */
public enum EndpointKind {
    /** Serves a language model. */
    MODEL("model"),
    /** Serves a plain application. */
    SERVICE("service");

    private final String text;

    EndpointKind(String text) {
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
     * Finds a kind by its text.
     *
     * @param text the form used in announcements
     * @return the kind
     */
    public static EndpointKind ofText(String text) {
        return TextForms.find(values(), EndpointKind::text, "kind", text);
    }
}
