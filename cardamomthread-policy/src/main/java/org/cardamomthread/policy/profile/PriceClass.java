package org.cardamomthread.policy.profile;

/** Classes of host prices. */
public enum PriceClass {
    /** Cheap, but the platform may reclaim the host at short notice. */
    RECLAIMABLE,
    /** More expensive; the host is kept until it is stopped. */
    ON_DEMAND
}
