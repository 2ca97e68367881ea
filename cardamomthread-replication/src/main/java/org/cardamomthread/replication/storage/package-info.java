/** Durable storage of one replica. */
package org.cardamomthread.replication.storage;
