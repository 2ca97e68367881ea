package org.cardamomthread.daemon;

/** Entry point of the module. */
public final class Cardamomthreadd {

    private Cardamomthreadd() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.out.println("Cardamomthreadd");
    }
}
