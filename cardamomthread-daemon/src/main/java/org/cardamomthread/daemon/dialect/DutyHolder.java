package org.cardamomthread.daemon.dialect;

/**
 * Names the node that performs a duty. Immutable.
 *
 * @param nodeName the node's name on the platform
 * @param fencingToken rises whenever another node takes the duty over
 */
public record DutyHolder(String nodeName, long fencingToken) {}
