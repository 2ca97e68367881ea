package org.cardamomthread.replication;

/** Reports that the replica takes no commands now; the command was not appended. */
public final class GroupUnavailableException extends ReplicationException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param groupId the group
     * @param reason why it takes no commands and the remedy
     */
    public GroupUnavailableException(GroupId groupId, String reason) {
        super("group \"" + groupId + "\" takes no commands here: " + reason);
    }

    @Override
    public boolean isNotAppended() {
        return true;
    }
}
