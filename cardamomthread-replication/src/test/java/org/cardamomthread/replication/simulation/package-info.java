/** Runs several replicas under random faults in simulated time. */
package org.cardamomthread.replication.simulation;
