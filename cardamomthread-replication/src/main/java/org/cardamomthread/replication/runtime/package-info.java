/** Execution of replicas: persists, sends and applies the output of the consensus protocol. */
package org.cardamomthread.replication.runtime;
