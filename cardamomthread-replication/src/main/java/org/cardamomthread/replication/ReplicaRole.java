package org.cardamomthread.replication;

/** States what a replica does in its group. */
public enum ReplicaRole {
    /** Takes proposals and sends entries. */
    LEADER,
    /** Asks for votes in a new term. */
    CANDIDATE,
    /** Asks whether it would get votes, without a new term. */
    PRE_CANDIDATE,
    /** Takes entries from the leader; may vote. */
    FOLLOWER,
    /** Takes entries from the leader; may not vote, since it is a learner or not yet a member. */
    LEARNER,
    /** Stopped after a storage failure or a close. */
    STOPPED
}
