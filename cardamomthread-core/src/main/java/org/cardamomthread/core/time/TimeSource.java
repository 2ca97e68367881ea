package org.cardamomthread.core.time;

import java.time.InstantSource;

/**
 * Provides wall-clock and monotonic time.
 *
 * <p>Leases, deadlines and timeouts use {@link #monotonicMs()} only; the wall clock is used only
 * for timestamps that are read by people or other hosts. Implementations are thread-safe.
 */
public interface TimeSource extends InstantSource {

    /**
     * Returns the monotonic time since an arbitrary origin that is fixed for the process.
     *
     * @return time in milliseconds, which never decreases
     */
    long monotonicMs();
}
