package org.cardamomthread.experiments;

/** Entry point of the module. */
public final class Experiments {

    private Experiments() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.out.println("Experiments");
    }
}
