/** Durable storage of the log, term and snapshots of one replica. */
package org.cardamomthread.replication.storage;
