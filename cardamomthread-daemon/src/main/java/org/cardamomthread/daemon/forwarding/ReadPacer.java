package org.cardamomthread.daemon.forwarding;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;

/**
 * Stops reading the response of an attempt while the client has much of it unread, so that the
 * gateway does not hold it. Must be used on one event loop.
 */
final class ReadPacer {

    /** Bytes that a client has not read yet above which no more are read from the endpoint. */
    private static final long MAX_UNREAD_BYTES = 256 * 1024;

    /** Interval at which it is checked whether a slow client has read on. */
    private static final long CHECK_INTERVAL_MS = 10;

    private final ResponseRelay relay;
    private final EventLoop loop;
    private boolean isPaused;

    ReadPacer(ResponseRelay relay, EventLoop loop) {
        this.relay = relay;
        this.loop = loop;
    }

    /** Pauses the attempt if the client has too much unread; resumes it once that is read. */
    void pauseIfClientIsSlow(EndpointAttempt attempt) {
        if (!isPaused && relay.pendingBytes() > MAX_UNREAD_BYTES) {
            isPaused = true;
            attempt.setReading(false);
            scheduleCheck(attempt);
        }
    }

    private void scheduleCheck(EndpointAttempt attempt) {
        loop.schedule(
                () -> resumeIfClientHasRead(attempt), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void resumeIfClientHasRead(EndpointAttempt attempt) {
        if (relay.pendingBytes() > MAX_UNREAD_BYTES) {
            scheduleCheck(attempt);
            return;
        }
        isPaused = false;
        attempt.setReading(true);
    }
}
