/** The replication protocol as a state machine without threads, clocks, sockets or files. */
package org.cardamomthread.replication.consensus;
