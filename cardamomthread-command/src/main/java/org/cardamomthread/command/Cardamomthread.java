package org.cardamomthread.command;

/** Entry point of the module. */
public final class Cardamomthread {

    private Cardamomthread() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.out.println("Cardamomthread");
    }
}
