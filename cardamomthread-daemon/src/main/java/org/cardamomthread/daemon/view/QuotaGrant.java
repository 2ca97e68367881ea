package org.cardamomthread.daemon.view;

import java.util.OptionalLong;

/**
 * Holds the result of a request for quota from the leader's pool. Immutable.
 *
 * @param isGranted whether the amount may be used
 * @param waitMs the time until the amount would be available, in milliseconds, or empty if unknown
 */
public record QuotaGrant(boolean isGranted, OptionalLong waitMs) {

    static QuotaGrant granted() {
        return new QuotaGrant(true, OptionalLong.empty());
    }

    static QuotaGrant denied(long waitMs) {
        return new QuotaGrant(false, OptionalLong.of(waitMs));
    }

    static QuotaGrant unavailable() {
        return new QuotaGrant(false, OptionalLong.empty());
    }
}
