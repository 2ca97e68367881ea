/**
 * Runs the replication groups on their voters and forwards commands and queries to their leaders.
 */
package org.cardamomthread.daemon.control;
