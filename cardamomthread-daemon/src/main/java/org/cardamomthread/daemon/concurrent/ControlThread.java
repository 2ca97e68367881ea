package org.cardamomthread.daemon.concurrent;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the control tasks of a node sequentially on one thread.
 *
 * <p>A task that throws is logged, and the next one runs; a periodic one runs again after any
 * error, since the executor would otherwise end it silently. Thread-safe.
 */
public final class ControlThread implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlThread.class);

    private final ScheduledExecutorService executor;

    /**
     * Starts the thread.
     *
     * @param name the thread's name
     */
    public ControlThread(String name) {
        executor =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /**
     * Queues a task; drops it if this thread has been closed.
     *
     * @param task the task; must not block
     */
    public void execute(Runnable task) {
        try {
            executor.execute(() -> runLogged(task));
        } catch (RejectedExecutionException closed) {
            LOGGER.debug("dropped a control task because the control thread is closed");
        }
    }

    /**
     * Queues a task and returns its result.
     *
     * @param task the task; must not block
     * @param <T> the type of result
     * @return completes with the result, or with the exception that the task threw
     */
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        return CompletableFuture.supplyAsync(task, executor);
    }

    /**
     * Runs a task periodically, for the first time after one interval.
     *
     * @param intervalMs milliseconds between the end of one run and the start of the next
     * @param task the task; must not block
     */
    public void scheduleWithFixedDelay(long intervalMs, Runnable task) {
        executor.scheduleWithFixedDelay(
                () -> runLogged(task), intervalMs, intervalMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error failure) {
            LOGGER.error("a control task failed", failure);
        }
    }
}
