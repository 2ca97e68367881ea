/**
 * The registry of endpoints that each control node maintains from the endpoints' own reports, and
 * its replication among the control nodes.
 */
package org.cardamomthread.daemon.registry;
