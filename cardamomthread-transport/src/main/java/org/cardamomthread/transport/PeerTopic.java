package org.cardamomthread.transport;

/**
 * Identifies a kind of message between nodes.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number topic number on the wire, at least 1; must be the same on all nodes
 * @param name topic name for logs and metrics
 */
public record PeerTopic(int number, String name) {

    /** Validates the number and the name. */
    public PeerTopic {
        if (number < 1) {
            throw new IllegalArgumentException("topic number " + number + " must be at least 1");
        }
        if (name == null || name.isEmpty()) {
            throw new IllegalArgumentException(
                    "the name of topic " + number + " must not be empty");
        }
    }
}
