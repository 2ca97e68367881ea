package org.cardamomthread.daemon.control;

/** Answers reads from the state of a group. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface GroupQueryHandler {

    /**
     * Reads from the applied state; must not block.
     *
     * @param query what to read
     * @return the answer
     */
    byte[] query(byte[] query);
}
