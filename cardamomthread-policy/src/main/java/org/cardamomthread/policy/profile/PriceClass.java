package org.cardamomthread.policy.profile;

/** Names how a host is paid for. Immutable. */
public enum PriceClass {
    /** Cheap; the platform may take the host back after a short notice. */
    RECLAIMABLE,
    /** Dearer; kept until it is stopped. */
    ON_DEMAND
}
