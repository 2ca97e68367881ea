package org.cardamomthread.core.time;

import java.time.InstantSource;

/**
 * Supplies wall-clock and monotonic time.
 *
 * <p>Leases, deadlines and timeouts use {@link #monotonicMs()} only; the wall clock serves
 * timestamps that people or other hosts read. Implementations are safe for use by several threads.
 */
public interface TimeSource extends InstantSource {

    /**
     * Returns the milliseconds since an arbitrary origin that is fixed for the process.
     *
     * @return milliseconds that never decrease
     */
    long monotonicMs();
}
