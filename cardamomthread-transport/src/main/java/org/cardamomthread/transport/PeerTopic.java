package org.cardamomthread.transport;

/**
 * Names a kind of message between nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param number identifies the topic on the wire; the same on all nodes, at least 1
 * @param name serves logs and metrics
 */
public record PeerTopic(int number, String name) {

    /** Checks the number and the name. */
    public PeerTopic {
        if (number < 1) {
            throw new IllegalArgumentException("topic number " + number + " must be at least 1");
        }
        if (name == null || name.isEmpty()) {
            throw new IllegalArgumentException("name of topic " + number + " must not be empty");
        }
    }
}
