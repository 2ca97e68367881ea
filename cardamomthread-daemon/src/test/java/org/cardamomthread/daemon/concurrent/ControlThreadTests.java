package org.cardamomthread.daemon.concurrent;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that failing tasks do not end the tasks of a node. */
public class ControlThreadTests {

    private static final int RUNS = 3;
    private static final long TIMEOUT_S = 10;

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {new IllegalStateException("failure")},
            {new StackOverflowError()},
            {new OutOfMemoryError("simulated")}
        };
    }

    /** Guards against a periodic duty that ends for good with one error. */
    @Test(dataProvider = "failures")
    public void periodicTaskContinuesAfterAFailure(Throwable failure) throws Exception {
        CountDownLatch runs = new CountDownLatch(RUNS);
        try (ControlThread thread = new ControlThread("test")) {
            thread.scheduleWithFixedDelay(
                    1,
                    () -> {
                        runs.countDown();
                        throwUnchecked(failure);
                    });
            assertTrue(runs.await(TIMEOUT_S, TimeUnit.SECONDS), "missing: " + runs.getCount());
        }
    }

    private static void throwUnchecked(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }
}
