/** Simulation of a replication group under random faults in simulated time. */
package org.cardamomthread.replication.simulation;
