/** Gossip between nodes: liveness, node entries, drain records. */
package org.cardamomthread.membership.node;
