package org.cardamomthread.core.time;

import java.time.Instant;
import java.util.concurrent.TimeUnit;

/** Reads the clocks of this host. Stateless and thread-safe. */
public final class SystemTimeSource implements TimeSource {

    @Override
    public Instant instant() {
        return Instant.now();
    }

    @Override
    public long monotonicMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
