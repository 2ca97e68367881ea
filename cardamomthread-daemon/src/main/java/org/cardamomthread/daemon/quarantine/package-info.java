/**
 * Quarantine of prompt blocks under which endpoints crash, in deployments without a leader: the
 * exchange of evidence between nodes, and the trials.
 */
package org.cardamomthread.daemon.quarantine;
