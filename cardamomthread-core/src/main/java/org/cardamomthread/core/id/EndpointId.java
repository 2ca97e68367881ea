package org.cardamomthread.core.id;

/**
 * Identifies an endpoint (a model server or an application instance) uniquely in the deployment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record EndpointId(String value) implements Comparable<EndpointId> {

    /** Validates the text form. */
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
