package org.cardamomthread.replication;

/** The role of a replica in its group. */
public enum ReplicaRole {
    /** Accepts proposals and replicates its log to the other members. */
    LEADER,
    /** Requests votes in a new term. */
    CANDIDATE,
    /** Requests preliminary votes, which do not start a new term. */
    PRE_CANDIDATE,
    /** Voter that replicates the leader's log. */
    FOLLOWER,
    /** Replicates the leader's log without a vote, as a learner or before it is a member. */
    LEARNER,
    /** Stopped because of a failure or a call of {@code close()}; it no longer participates. */
    STOPPED
}
