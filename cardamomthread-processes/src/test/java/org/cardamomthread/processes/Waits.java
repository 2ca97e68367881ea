package org.cardamomthread.processes;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Waits for conditions. Stateless and safe for use by several threads. */
public final class Waits {

    private static final long POLL_INTERVAL_MS = 20;

    private Waits() {}

    /**
     * Polls until the condition holds, treating an exception as not met; fails after the timeout.
     */
    public static void until(long timeoutMs, String description, Callable<Boolean> condition)
            throws Exception {
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        Exception lastFailure = null;
        while (System.nanoTime() < deadlineNs) {
            try {
                if (condition.call()) {
                    return;
                }
                lastFailure = null;
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                lastFailure = e;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        throw new AssertionError(
                description + " not reached within " + timeoutMs + " ms", lastFailure);
    }
}
