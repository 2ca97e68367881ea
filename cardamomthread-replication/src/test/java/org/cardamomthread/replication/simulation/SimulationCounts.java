package org.cardamomthread.replication.simulation;

/** Counts events of simulations, which shows whether the faults actually occurred. */
record SimulationCounts(int acknowledged, int leaders, int crashes, int lostFolders) {

    SimulationCounts plus(SimulationCounts other) {
        return new SimulationCounts(
                acknowledged + other.acknowledged,
                leaders + other.leaders,
                crashes + other.crashes,
                lostFolders + other.lostFolders);
    }
}
