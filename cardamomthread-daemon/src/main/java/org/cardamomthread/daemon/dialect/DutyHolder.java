package org.cardamomthread.daemon.dialect;

/**
 * Names the node that performs a duty. Immutable.
 *
 * @param name the node's name on the platform
 * @param fencingNumber rises whenever another node takes the duty over
 */
public record DutyHolder(String name, long fencingNumber) {}
