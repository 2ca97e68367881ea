package org.cardamomthread.daemon.dispatch;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.Timeout;
import io.netty.util.Timer;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.netty.request.NettyRequest;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.ResponseHeadValidator.Rejection;

/**
 * Converts AsyncHttpClient events to listener events and enforces the progress timeouts.
 *
 * <p>Invariants: the listener is notified of exactly one end; an attempt that ended while it was
 * connecting is never sent, so that {@code NOT_SENT} is certain. Thread-safe.
 */
final class AttemptHandler implements AsyncHandler<Void>, EndpointAttempt {

    /** The phases of an attempt; an attempt can end in either of the other phases. */
    private enum Phase {
        CONNECTING,
        SENT,
        ENDED
    }

    private final EndpointRequest request;
    private final ResponseHeadValidator headValidator;
    private final EndpointResponseListener listener;
    private final Timer timer;
    private final TimeSource timeSource;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.CONNECTING);
    private volatile boolean isHeadReceived;
    private volatile long lastProgressMs;
    private volatile Channel channel;
    private volatile Timeout progressTimeout;
    private int status;
    private String reasonPhrase;

    AttemptHandler(
            EndpointRequest request,
            EndpointResponseListener listener,
            Timer timer,
            TimeSource timeSource) {
        this.request = request;
        this.headValidator = new ResponseHeadValidator(request);
        this.listener = listener;
        this.timer = timer;
        this.timeSource = timeSource;
        this.lastProgressMs = timeSource.monotonicMs();
        this.progressTimeout = scheduleProgressCheck(request.firstByteTimeoutMs());
    }

    /** Cancels the given execution if the attempt ended before the execution was known. */
    void attach(ListenableFuture<Void> execution) {
        if (hasEnded() && !execution.isDone()) {
            execution.cancel(true);
        }
    }

    @Override
    public void cancel() {
        fail(Kind.CANCELLED, "the attempt was cancelled", null);
    }

    @Override
    public void setReading(boolean isReading) {
        Channel used = channel;
        if (used != null && !hasEnded()) {
            used.config().setAutoRead(isReading);
        }
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress address, Channel connected) {
        useChannel(connected);
    }

    @Override
    public void onRequestSend(NettyRequest nettyRequest) {
        if (!request.maySend().getAsBoolean()) {
            fail(Kind.NOT_SENT, "the request may not be sent to this endpoint any more", null);
        }
        if (!phase.compareAndSet(Phase.CONNECTING, Phase.SENT)) {
            throw new IllegalStateException("the attempt ended before it was sent");
        }
    }

    @Override
    public State onStatusReceived(HttpResponseStatus received) {
        status = received.getStatusCode();
        reasonPhrase = received.getStatusText();
        return hasEnded() ? State.ABORT : State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        if (hasEnded()) {
            return State.ABORT;
        }
        Optional<Rejection> rejection = headValidator.validate(status, reasonPhrase, headers);
        if (rejection.isPresent()) {
            fail(rejection.get().kind(), rejection.get().detail(), null);
            return State.ABORT;
        }
        isHeadReceived = true;
        lastProgressMs = timeSource.monotonicMs();
        listener.onHead(status, headers);
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        if (hasEnded()) {
            return State.ABORT;
        }
        lastProgressMs = timeSource.monotonicMs();
        if (part.length() > 0) {
            listener.onBodyPart(part.getBodyPartBytes());
        }
        return State.CONTINUE;
    }

    @Override
    public void onThrowable(Throwable failure) {
        fail(
                Kind.CONNECTION_LOST,
                "the connection failed ("
                        + failure.getMessage()
                        + "): check whether the host is up",
                failure);
    }

    @Override
    public Void onCompleted() {
        if (!isHeadReceived) {
            fail(Kind.CONNECTION_LOST, "the response ended before its head was complete", null);
            return null;
        }
        if (phase.getAndSet(Phase.ENDED) != Phase.ENDED) {
            progressTimeout.cancel();
            channel.config().setAutoRead(true);
            listener.onComplete();
        }
        return null;
    }

    private void useChannel(Channel used) {
        channel = used;
        if (hasEnded()) {
            used.close();
        }
    }

    private Timeout scheduleProgressCheck(long delayMs) {
        return timer.newTimeout(expired -> checkProgress(), delayMs, TimeUnit.MILLISECONDS);
    }

    private void checkProgress() {
        if (hasEnded()) {
            return;
        }
        long timeoutMs = isHeadReceived ? request.gapTimeoutMs() : request.firstByteTimeoutMs();
        long remainingMs = lastProgressMs + timeoutMs - timeSource.monotonicMs();
        if (remainingMs > 0) {
            progressTimeout = scheduleProgressCheck(remainingMs);
            return;
        }
        if (isHeadReceived) {
            fail(
                    Kind.GAP_TIMEOUT,
                    "no part of the response arrived for " + timeoutMs + " ms",
                    null);
        } else {
            fail(
                    Kind.FIRST_BYTE_TIMEOUT,
                    "the response did not begin within " + timeoutMs + " ms",
                    null);
        }
    }

    private boolean hasEnded() {
        return phase.get() == Phase.ENDED;
    }

    private void fail(Kind kind, String detail, Throwable cause) {
        Phase previous = phase.getAndSet(Phase.ENDED);
        if (previous == Phase.ENDED) {
            return;
        }
        progressTimeout.cancel();
        Channel used = channel;
        if (used != null) {
            used.close();
        }
        Kind reportedKind = previous == Phase.CONNECTING ? Kind.NOT_SENT : kind;
        listener.onFailure(
                new EndpointFailureException(reportedKind, request.address(), detail, cause));
    }
}
