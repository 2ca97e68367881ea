/** Consensus protocol as a deterministic state machine without threads, clocks or I/O. */
package org.cardamomthread.replication.consensus;
