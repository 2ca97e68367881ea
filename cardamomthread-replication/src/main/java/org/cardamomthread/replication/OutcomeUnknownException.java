package org.cardamomthread.replication;

/** Indicates that a command was appended to the log but may or may not be committed. */
public final class OutcomeUnknownException extends ReplicationException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param groupId the group to which the command was proposed
     * @param reason why the outcome cannot be determined
     */
    public OutcomeUnknownException(GroupId groupId, String reason) {
        super(
                "the outcome of a command for group \""
                        + groupId
                        + "\" is unknown ("
                        + reason
                        + "); retry it with the same operation id");
    }

    @Override
    public boolean isGuaranteedNotAppended() {
        return false;
    }
}
