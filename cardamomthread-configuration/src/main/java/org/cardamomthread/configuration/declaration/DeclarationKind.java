package org.cardamomthread.configuration.declaration;

/**
 * The kinds of declarations, in the order of their sections in the canonical form.
 *
 * <p>The wire numbers are sent between nodes and stored in snapshots, so a number must never change
 * its meaning.
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

    DeclarationKind(int wireNumber, String sectionKey) {
        this.wireNumber = wireNumber;
        this.sectionKey = sectionKey;
    }

    /**
     * Returns the number that stands for this kind in messages and snapshots.
     *
     * @return a positive number
     */
    public int wireNumber() {
        return wireNumber;
    }

    /**
     * Returns the key of the section that lists the declarations of this kind.
     *
     * @return the key in files and in the canonical form
     */
    public String sectionKey() {
        return sectionKey;
    }

    /**
     * Returns the kind with a wire number.
     *
     * @param wireNumber a number returned by {@link #wireNumber()}
     * @return the kind
     * @throws IllegalArgumentException if no kind has the number
     */
    public static DeclarationKind ofWireNumber(int wireNumber) {
        for (DeclarationKind kind : values()) {
            if (kind.wireNumber == wireNumber) {
                return kind;
            }
        }
        throw new IllegalArgumentException("declaration kind " + wireNumber + " must be 1 to 5");
    }
}
