package org.cardamomthread.policy.profile;

/** Priorities of work, the highest first. */
public enum Priority {
    /** Interactive work, for which a caller is waiting. */
    URGENT,
    /** Deferrable work, which must be finished by a deadline but need not start at once. */
    PATIENT
}
