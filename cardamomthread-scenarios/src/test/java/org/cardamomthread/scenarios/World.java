package org.cardamomthread.scenarios;

/** Plays the steps of a scenario; an expectation that is not met fails as an assertion. */
@FunctionalInterface
interface World {

    /**
     * Plays one step.
     *
     * @param step the step
     */
    void play(Scenario.Step step);
}
