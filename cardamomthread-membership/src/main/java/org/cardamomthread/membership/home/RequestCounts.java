package org.cardamomthread.membership.home;

/**
 * Holds a gateway's cumulative request counts for one endpoint. Immutable.
 *
 * @param started the number of requests started so far
 * @param finished the number of requests finished so far
 */
record RequestCounts(long started, long finished) {}
