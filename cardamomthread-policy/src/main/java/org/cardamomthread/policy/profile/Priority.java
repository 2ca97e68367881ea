package org.cardamomthread.policy.profile;

/** Orders work by how soon it must start. Immutable; the most pressing value stands first. */
public enum Priority {
    /** A caller is waiting. */
    URGENT,
    /** Must be finished by a deadline, not at once. */
    PATIENT
}
