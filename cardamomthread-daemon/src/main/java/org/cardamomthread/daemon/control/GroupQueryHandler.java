package org.cardamomthread.daemon.control;

/** Answers queries from the applied state of a group. Implementations must be thread-safe. */
@FunctionalInterface
public interface GroupQueryHandler {

    /**
     * Answers a query; must not block.
     *
     * @param query the query, in an encoding of the group
     * @return the encoded result
     */
    byte[] query(byte[] query);
}
