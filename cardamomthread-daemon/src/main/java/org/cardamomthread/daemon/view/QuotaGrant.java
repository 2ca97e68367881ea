package org.cardamomthread.daemon.view;

import java.util.OptionalLong;

/**
 * Answers a question for quota. Immutable.
 *
 * @param isGranted whether the amount may be used
 * @param waitMs time until it would be there, in milliseconds; empty if it is not known
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
