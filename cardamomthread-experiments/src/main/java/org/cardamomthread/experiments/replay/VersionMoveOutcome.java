package org.cardamomthread.experiments.replay;

/**
 * The outcome of one version move.
 *
 * @param fault fault of the new version
 * @param done true if the new version serves all calls, false if it was rolled back
 * @param endMs time from the start to the end of the move, in milliseconds
 * @param firstSymptomMs time from the start to the first call affected by the fault, in
 *     milliseconds, or -1
 * @param newCalls number of calls sent to the new version
 * @param callsUntilDeadline number of calls of the service until the deadline
 */
record VersionMoveOutcome(
        VersionMoveFault fault,
        boolean completed,
        long endMs,
        long firstSymptomMs,
        long newCalls,
        long callsUntilDeadline) {

    double newVersionShare() {
        return (double) newCalls / callsUntilDeadline;
    }

    long detectionDelayMs() {
        return firstSymptomMs < 0 ? 0 : endMs - firstSymptomMs;
    }
}
