package org.cardamomthread.daemon.http;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Watches the time that a client takes to send the head and the body of a request.
 *
 * <p>Confined to the connection's event loop, on which the given actions also run.
 */
final class ReceiveTimeouts {

    private final long headTimeoutMs;
    private final long bodyTimeoutMs;
    private final long bodyStallTimeoutMs;
    private ScheduledFuture<?> headTimeout;
    private ScheduledFuture<?> bodyTimeout;
    private ScheduledFuture<?> stallCheck;
    private boolean hasBodyProgress;

    ReceiveTimeouts(HttpLimits limits, ClientLimits clientLimits) {
        headTimeoutMs = clientLimits.headTimeoutMs();
        bodyTimeoutMs = limits.bodyTimeoutMs();
        bodyStallTimeoutMs = clientLimits.bodyStallTimeoutMs();
    }

    /** Starts to watch a head unless one is watched already. */
    void watchHead(EventExecutor eventLoop, Runnable onTimeout) {
        if (headTimeout == null) {
            headTimeout = eventLoop.schedule(onTimeout, headTimeoutMs, TimeUnit.MILLISECONDS);
        }
    }

    void endHead() {
        if (headTimeout != null) {
            headTimeout.cancel(false);
            headTimeout = null;
        }
    }

    /** Starts to watch a body: its whole duration, and the time without any byte. */
    void watchBody(EventExecutor eventLoop, Runnable onTimeout, Runnable onStall) {
        hasBodyProgress = true;
        bodyTimeout = eventLoop.schedule(onTimeout, bodyTimeoutMs, TimeUnit.MILLISECONDS);
        stallCheck =
                eventLoop.scheduleAtFixedRate(
                        () -> checkProgress(onStall),
                        bodyStallTimeoutMs,
                        bodyStallTimeoutMs,
                        TimeUnit.MILLISECONDS);
    }

    void markBodyProgress() {
        hasBodyProgress = true;
    }

    void endBody() {
        bodyTimeout.cancel(false);
        stallCheck.cancel(false);
    }

    private void checkProgress(Runnable onStall) {
        if (!hasBodyProgress) {
            onStall.run();
        }
        hasBodyProgress = false;
    }
}
