package org.cardamomthread.daemon.dialect;

/**
 * Identifies the node that runs the controllers, to fence off its predecessors. Immutable.
 *
 * @param nodeName the node's name on the platform
 * @param fencingToken a number that increases whenever another node takes over
 */
public record ControllerLeaseHolder(String nodeName, long fencingToken) {}
