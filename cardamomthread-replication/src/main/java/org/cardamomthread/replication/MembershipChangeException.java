package org.cardamomthread.replication;

/** Reports that a change of membership was refused; nothing was appended. */
public final class MembershipChangeException extends ReplicationException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message why the change is refused and the remedy
     */
    public MembershipChangeException(String message) {
        super(message);
    }

    @Override
    public boolean isNotAppended() {
        return true;
    }
}
