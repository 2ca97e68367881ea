package org.cardamomthread.policy.rollout;

/** Weighs evidence that events are more frequent for the new version than for the old. */
interface SequentialTest {

    /**
     * Returns the weight of the evidence, which may be looked at after every call: if the new
     * version is as good as the old, it exceeds 1/a at any time with a probability of at most a.
     *
     * @param newCounts the new version's calls of a period
     * @param oldCounts the old version's calls of the same period
     * @param oldSinceStart the old version's calls since the start of the move
     */
    double evidence(EventCounts newCounts, EventCounts oldCounts, EventCounts oldSinceStart);

    /**
     * Counts the calls that can show an event and the events. Immutable.
     *
     * @param calls calls
     * @param events events among them
     */
    record EventCounts(long calls, long events) {}
}
