package org.cardamomthread.replication;

/** Reports that a command was appended, but that it may or may not be committed. */
public final class OutcomeUnknownException extends ReplicationException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param groupId the group
     * @param reason what interrupted the proposal
     */
    public OutcomeUnknownException(GroupId groupId, String reason) {
        super(
                "the outcome of a command to group \""
                        + groupId
                        + "\" is unknown ("
                        + reason
                        + "); resend it with the same operation id");
    }

    @Override
    public boolean isNotAppended() {
        return false;
    }
}
