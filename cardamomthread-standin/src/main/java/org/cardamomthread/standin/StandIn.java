package org.cardamomthread.standin;

/** Entry point of the module. */
public final class StandIn {

    private StandIn() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.out.println("StandIn");
    }
}
