package org.cardamomthread.experiments.replay;

/**
 * Holds how one version move ended. Immutable.
 *
 * @param fault what was wrong with the version
 * @param done true if the version serves all calls, false if it was taken back
 * @param endMs time of the end since the start, in milliseconds
 * @param signMs time of the first visible sign since the start, in milliseconds, or -1
 * @param newCalls calls that the new version got
 * @param windowCalls calls of the service until the deadline
 */
record MoveOutcome(
        MoveFault fault, boolean done, long endMs, long signMs, long newCalls, long windowCalls) {

    double share() {
        return (double) newCalls / windowCalls;
    }

    long afterSignMs() {
        return signMs < 0 ? 0 : endMs - signMs;
    }
}
