package org.cardamomthread.daemon.dialect;

/**
 * Holds the load of an endpoint at one moment. Immutable.
 *
 * @param running the number of requests in progress
 * @param waiting the number of requests in the endpoint's queue
 * @param slots the number of requests that it can run concurrently
 */
public record LoadReport(int running, int waiting, int slots) {}
