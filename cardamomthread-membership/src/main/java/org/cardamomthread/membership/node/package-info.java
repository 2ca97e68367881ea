/** Gossip between nodes, which spreads liveness, node entries and drain records. */
package org.cardamomthread.membership.node;
