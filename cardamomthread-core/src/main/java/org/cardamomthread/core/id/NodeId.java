package org.cardamomthread.core.id;

/**
 * Identifies a node of the system, unique among all nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the text form, as {@link Identifiers} allows it
 */
public record NodeId(String value) implements Comparable<NodeId> {

    /** Checks the text form. */
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
