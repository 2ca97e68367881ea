package org.cardamomthread.replication;

/** Indicates that a membership change is not allowed now; nothing was appended. */
public final class MembershipChangeException extends ReplicationException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message why the change is not allowed, and the remedy
     */
    public MembershipChangeException(String message) {
        super(message);
    }

    @Override
    public boolean isGuaranteedNotAppended() {
        return true;
    }
}
