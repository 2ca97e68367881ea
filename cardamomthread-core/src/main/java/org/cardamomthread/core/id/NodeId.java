package org.cardamomthread.core.id;

/**
 * Identifies a node uniquely among all nodes of the deployment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text form, as defined by {@link Identifiers}
 */
public record NodeId(String value) implements Comparable<NodeId> {

    /** Validates the text form. */
    public NodeId {
        Identifiers.requireValid("NodeId", value);
    }

    @Override
    public int compareTo(NodeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
