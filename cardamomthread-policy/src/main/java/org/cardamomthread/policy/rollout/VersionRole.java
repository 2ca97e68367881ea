package org.cardamomthread.policy.rollout;

/** Names the part of a version in a move. Immutable. */
public enum VersionRole {
    /** The version that the move leaves. */
    OLD,
    /** The version that the move leads to. */
    NEW
}
