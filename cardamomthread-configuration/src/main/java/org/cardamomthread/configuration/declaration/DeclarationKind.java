package org.cardamomthread.configuration.declaration;

/**
 * The kinds of declarations, in the order in which they stand in the canonical form.
 *
 * <p>Numbers are used between nodes and never change their meaning.
 */
public enum DeclarationKind {
    /** A data centre. */
    DATA_CENTRE(1, "dataCentres"),
    /** A class of endpoints. */
    ENDPOINT_CLASS(2, "endpointClasses"),
    /** A profile. */
    PROFILE(3, "profiles"),
    /** A service. */
    SERVICE(4, "services"),
    /** A client account. */
    CLIENT_ACCOUNT(5, "clientAccounts");

    private final int wireNumber;
    private final String sectionKey;

    DeclarationKind(int number, String section) {
        this.wireNumber = number;
        this.sectionKey = section;
    }

    /**
     * Returns the number of this kind between nodes.
     *
     * @return a positive number
     */
    public int wireNumber() {
        return wireNumber;
    }

    /**
     * Returns the key under which declarations of this kind stand.
     *
     * @return the key in files and in the canonical form
     */
    public String sectionKey() {
        return sectionKey;
    }

    /**
     * Finds the kind of a number.
     *
     * @param number the number
     * @return the kind
     * @throws IllegalArgumentException if no kind has it
     */
    public static DeclarationKind ofWireNumber(int number) {
        for (DeclarationKind kind : values()) {
            if (kind.wireNumber == number) {
                return kind;
            }
        }
        throw new IllegalArgumentException("declaration kind " + number + " must be 1 to 5");
    }
}
