package org.cardamomthread.experiments;

/** Prints the name of the module; each measurement has a main class of its own. */
public final class Experiments {

    private Experiments() {}

    /**
     * Prints the name of the module.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        System.out.println("Experiments");
    }
}
