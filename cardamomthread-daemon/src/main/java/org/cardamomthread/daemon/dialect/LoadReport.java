package org.cardamomthread.daemon.dialect;

/**
 * Holds an endpoint's load at one moment. Immutable.
 *
 * @param running requests in progress
 * @param waiting requests in its queue
 * @param slots requests that it runs at once
 */
public record LoadReport(int running, int waiting, int slots) {}
