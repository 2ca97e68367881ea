package org.cardamomthread.membership.home;

/**
 * Holds a gateway's running totals for one endpoint. Immutable.
 *
 * @param started requests ever started
 * @param finished requests ever finished
 */
record GatewayCounts(long started, long finished) {}
