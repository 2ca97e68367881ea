package org.cardamomthread.policy.rollout;

/**
 * Tests whether an event, such as a failure, is more frequent for the new version than for the old
 * one.
 */
interface SequentialTest {

    /**
     * Returns the evidence (an e-value) that the new version is worse. It may be evaluated after
     * every call: if the new version is as good as the old one, the probability that the value ever
     * exceeds 1/a is at most a.
     *
     * @param newCounts counts of the new version in a period
     * @param oldCounts counts of the old version in the same period
     * @param oldSinceStart counts of the old version since the start of the rollout
     */
    double evidence(EventCounts newCounts, EventCounts oldCounts, EventCounts oldSinceStart);

    /**
     * Holds the number of calls in which an event could occur and in which it did. Immutable.
     *
     * @param calls number of calls in which the event could occur
     * @param events number of calls in which it occurred
     */
    record EventCounts(long calls, long events) {}
}
