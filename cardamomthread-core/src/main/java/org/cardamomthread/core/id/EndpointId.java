package org.cardamomthread.core.id;

/**
 * Identifies an endpoint (a model runner or an app runner), unique in the deployment.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /** Checks the text form. */
    public EndpointId {
        Identifiers.requireValid("EndpointId", value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
