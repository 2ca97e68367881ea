/** Runs replicas: persists, sends and applies what the protocol puts out. */
package org.cardamomthread.replication.runtime;
