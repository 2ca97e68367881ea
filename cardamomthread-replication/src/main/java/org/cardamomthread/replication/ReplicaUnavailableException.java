package org.cardamomthread.replication;

/** Indicates that a replica cannot accept a command now; the command was not appended. */
public final class ReplicaUnavailableException extends ReplicationException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param groupId the group that the replica belongs to
     * @param reason why the replica accepts no commands, and the remedy
     */
    public ReplicaUnavailableException(GroupId groupId, String reason) {
        super("replica of group \"" + groupId + "\" accepts no requests: " + reason);
    }

    @Override
    public boolean isGuaranteedNotAppended() {
        return true;
    }
}
