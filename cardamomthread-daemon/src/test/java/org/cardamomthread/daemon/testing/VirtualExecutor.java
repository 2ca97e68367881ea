package org.cardamomthread.daemon.testing;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.time.ManualTimeSource;

/**
 * Runs tasks in the order of their due times on a clock that it advances itself. Not thread-safe.
 */
public final class VirtualExecutor extends AbstractExecutorService
        implements ScheduledExecutorService {

    private static final long US_PER_MS = 1_000;

    private final ManualTimeSource time;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong((Task task) -> task.dueUs)
                            .thenComparingLong(task -> task.number));
    private long nowUs;
    private long taskCount;

    /** Creates an executor that advances a time source which nothing else advances. */
    public VirtualExecutor(ManualTimeSource time) {
        this.time = time;
        nowUs = time.monotonicMs() * US_PER_MS;
    }

    private final class Task extends FutureTask<Object> implements ScheduledFuture<Object> {
        private final long dueUs;
        private final long number = taskCount++;

        Task(Runnable task, long dueUs) {
            super(task, null);
            this.dueUs = dueUs;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueUs - nowUs, TimeUnit.MICROSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            return Long.compare(
                    getDelay(TimeUnit.MICROSECONDS), other.getDelay(TimeUnit.MICROSECONDS));
        }
    }

    /** Returns the current time in microseconds. */
    public long nowUs() {
        return nowUs;
    }

    /** Runs all tasks that are due until a time in milliseconds, and advances the clock to it. */
    public void runUntil(long endMs) {
        while (!tasks.isEmpty() && tasks.peek().dueUs <= endMs * US_PER_MS) {
            Task task = tasks.poll();
            advanceTo(Math.max(nowUs, task.dueUs));
            task.run();
            if (!task.isCancelled()) {
                rethrowFailure(task);
            }
        }
        advanceTo(endMs * US_PER_MS);
    }

    @Override
    public void execute(Runnable task) {
        schedule(task, 0, TimeUnit.MICROSECONDS);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        Task scheduled = new Task(task, nowUs + unit.toMicros(delay));
        tasks.add(scheduled);
        return scheduled;
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("only runnables are simulated");
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable task, long initialDelay, long period, TimeUnit unit) {
        return scheduleWithFixedDelay(task, initialDelay, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable task, long initialDelay, long delay, TimeUnit unit) {
        return schedule(
                () -> {
                    task.run();
                    scheduleWithFixedDelay(task, delay, delay, unit);
                },
                initialDelay,
                unit);
    }

    @Override
    public void shutdown() {
        tasks.clear();
    }

    @Override
    public List<Runnable> shutdownNow() {
        tasks.clear();
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return false;
    }

    private void advanceTo(long timeUs) {
        nowUs = timeUs;
        time.advanceMs(nowUs / US_PER_MS - time.monotonicMs());
    }

    private static void rethrowFailure(Task task) {
        try {
            task.get();
        } catch (ExecutionException e) {
            throw new AssertionError("a simulated task failed", e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
