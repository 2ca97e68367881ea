package org.cardamomthread.processes;

import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/** Waits for conditions. Stateless and safe for use by several threads. */
public final class Waits {

    private static final long POLL_MS = 20;

    private Waits() {}

    /** Polls a condition; an exception counts as not met. Fails after the bound. */
    public static void until(long boundMs, String what, Callable<Boolean> condition)
            throws Exception {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(boundMs);
        Exception last = null;
        while (System.nanoTime() < endNs) {
            try {
                if (condition.call()) {
                    return;
                }
                last = null;
            } catch (InterruptedException e) {
                throw e;
            } catch (Exception e) {
                last = e;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        throw new AssertionError(what + " was not met within " + boundMs + " ms", last);
    }
}
