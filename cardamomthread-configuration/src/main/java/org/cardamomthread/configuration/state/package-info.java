/**
 * Replicates the configuration: commands, the deterministic state machine that applies them, and
 * the views that it distributes to nodes by deltas.
 */
package org.cardamomthread.configuration.state;
