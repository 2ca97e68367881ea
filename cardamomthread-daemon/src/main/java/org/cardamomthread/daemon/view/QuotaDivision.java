package org.cardamomthread.daemon.view;

/** Says how a quota is divided between the gateways' own shares and the leader's pool. */
public final class QuotaDivision {

    /** Part of each quota that the leader lends on demand; the rest is shared out in advance. */
    public static final double POOLED_PART = 0.5;

    /** Part of the allowed excess that is used, so that bursts at one gateway pass. */
    public static final double TOLERANCE_PART = 0.5;

    private QuotaDivision() {}
}
