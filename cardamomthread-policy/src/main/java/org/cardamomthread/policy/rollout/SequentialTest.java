package org.cardamomthread.policy.rollout;

/** Weighs evidence that events are more frequent for the new version than for the old. */
interface SequentialTest {

    /**
     * Returns the weight of the evidence, which may be looked at after every call: if the new
     * version is as good as the old, it exceeds 1/a at any time with a probability of at most a.
     */
    double evidence(long newCalls, long newEvents, long oldCalls, long oldEvents);
}
