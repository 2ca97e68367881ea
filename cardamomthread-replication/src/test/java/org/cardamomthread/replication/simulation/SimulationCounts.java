package org.cardamomthread.replication.simulation;

/** Counts what happened in simulations, to show that the faults did occur. */
record SimulationCounts(int acknowledged, int leaders, int crashes, int lostFolders) {

    SimulationCounts plus(SimulationCounts other) {
        return new SimulationCounts(
                acknowledged + other.acknowledged,
                leaders + other.leaders,
                crashes + other.crashes,
                lostFolders + other.lostFolders);
    }
}
