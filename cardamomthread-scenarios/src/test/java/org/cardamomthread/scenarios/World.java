package org.cardamomthread.scenarios;

/**
 * Executes the steps of a scenario; an expectation that is not met throws an {@link
 * AssertionError}.
 */
@FunctionalInterface
interface World {

    /**
     * Executes one step.
     *
     * @param step the step, with a verb that this world supports
     */
    void execute(Scenario.Step step);
}
