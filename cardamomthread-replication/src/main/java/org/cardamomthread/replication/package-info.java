/** Replicated log: voters, storage, snapshots. */
package org.cardamomthread.replication;
