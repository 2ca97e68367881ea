package org.cardamomthread.policy.rollout;

/** Roles of a version in a rollout. */
public enum VersionRole {
    /** The version that is replaced. */
    OLD,
    /** The version that replaces it. */
    NEW
}
