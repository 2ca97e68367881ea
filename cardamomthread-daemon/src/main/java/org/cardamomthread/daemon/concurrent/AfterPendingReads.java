package org.cardamomthread.daemon.concurrent;

import io.netty.channel.EventLoop;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * Runs tasks on an event loop after it has read what had arrived on its connections before.
 *
 * <p>Invariant: a task that is passed in while a connection is read runs after the next poll of all
 * connections, so that a close which had already arrived behind the bytes is known by then.
 * Thread-safe.
 */
public final class AfterPendingReads implements Executor {

    private final EventLoop loop;

    /**
     * Creates an executor.
     *
     * @param loop the event loop of the connections, which runs the tasks
     */
    public AfterPendingReads(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public void execute(Runnable task) {
        // Tasks that are scheduled while the loop runs tasks wait for its next poll.
        loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
    }
}
