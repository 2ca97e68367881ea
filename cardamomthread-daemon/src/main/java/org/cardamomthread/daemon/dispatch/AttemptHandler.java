package org.cardamomthread.daemon.dispatch;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.Timeout;
import io.netty.util.Timer;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.netty.request.NettyRequest;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;

/**
 * Turns the events of AsyncHttpClient into those of a listener, and holds the progress deadlines.
 *
 * <p>Invariants: the listener hears exactly one end; an attempt that ended while it was connecting
 * never sends, so that "not sent" is certain; a connection on which a deadline passed is closed and
 * never used again. Safe for use by several threads.
 */
final class AttemptHandler implements AsyncHandler<Void>, EndpointAttempt {

    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int FIRST_REFUSAL_STATUS = 400;

    /** The stages of an attempt; the end is reached from either of the others. */
    private enum Phase {
        CONNECTING,
        SENT,
        ENDED
    }

    private final EndpointRequest request;
    private final EndpointResponseListener listener;
    private final Timer timer;
    private final TimeSource timeSource;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.CONNECTING);
    private volatile boolean headReceived;
    private volatile boolean isConnectionReused;
    private volatile long lastProgressMs;
    private volatile Channel channel;
    private volatile Timeout deadline;
    private int status;

    AttemptHandler(
            EndpointRequest request,
            EndpointResponseListener listener,
            Timer timer,
            TimeSource timeSource) {
        this.request = request;
        this.listener = listener;
        this.timer = timer;
        this.timeSource = timeSource;
        this.lastProgressMs = timeSource.monotonicMs();
        this.deadline = schedule(request.firstByteTimeoutMs());
    }

    /** Stops the attempt should it have ended before its future was known. */
    void watch(ListenableFuture<Void> running) {
        if (hasEnded() && !running.isDone()) {
            running.cancel(true);
        }
    }

    @Override
    public void cancel() {
        fail(Kind.CANCELLED, "the attempt was cancelled", null);
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress address, Channel connected) {
        useChannel(connected);
    }

    @Override
    public void onConnectionPooled(Channel pooled) {
        isConnectionReused = true;
        useChannel(pooled);
    }

    @Override
    public void onRequestSend(NettyRequest sending) {
        if (!request.mayStart().getAsBoolean()) {
            fail(Kind.NOT_SENT, "the lease of its credit ran out before it was sent", null);
        }
        if (!phase.compareAndSet(Phase.CONNECTING, Phase.SENT)) {
            throw new IllegalStateException("the attempt must not have ended before it is sent");
        }
    }

    @Override
    public State onStatusReceived(HttpResponseStatus received) {
        status = received.getStatusCode();
        return hasEnded() ? State.ABORT : State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        if (hasEnded()) {
            return State.ABORT;
        }
        String correlationHeader = request.answerForm().correlationHeader();
        String answered = headers.get(correlationHeader);
        if (!isOwnAnswer(answered)) {
            String detail =
                    "the answer carries request id \"%s\" instead of \"%s\": have the endpoint"
                            + " return the %s of each request";
            fail(
                    Kind.MISMATCHED_ANSWER,
                    String.format(detail, answered, request.requestId(), correlationHeader),
                    null);
            return State.ABORT;
        }
        if (!hasFraming(headers)) {
            fail(
                    Kind.TRUNCATED_ANSWER,
                    "the answer has neither a length nor chunks, so that its end proves nothing:"
                            + " have the endpoint send either",
                    null);
            return State.ABORT;
        }
        headReceived = true;
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
            listener.onPart(part.getBodyPartBytes());
        }
        return State.CONTINUE;
    }

    @Override
    public void onThrowable(Throwable failure) {
        fail(
                Kind.CONNECTION_LOST,
                "the connection failed (" + failure.getMessage() + "): see whether the host runs",
                failure);
    }

    @Override
    public Void onCompleted() {
        if (!headReceived) {
            fail(Kind.CONNECTION_LOST, "the answer ended before its head", null);
            return null;
        }
        if (phase.getAndSet(Phase.ENDED) != Phase.ENDED) {
            deadline.cancel();
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

    private boolean isOwnAnswer(String answeredId) {
        if (answeredId == null) {
            return request.answerForm().mayOmitIdInRefusal()
                    && !isConnectionReused
                    && status >= FIRST_REFUSAL_STATUS;
        }
        return answeredId.equals(request.requestId().value());
    }

    private boolean hasFraming(HttpHeaders headers) {
        boolean isBodyless =
                status == STATUS_NO_CONTENT
                        || status == STATUS_NOT_MODIFIED
                        || "HEAD".equals(request.method().name());
        return isBodyless
                || request.answerForm().mayEndWithConnection()
                || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                || headers.containsValue(
                        HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
    }

    private Timeout schedule(long delayMs) {
        return timer.newTimeout(expired -> checkProgress(), delayMs, TimeUnit.MILLISECONDS);
    }

    private void checkProgress() {
        if (hasEnded()) {
            return;
        }
        long allowedMs = headReceived ? request.gapTimeoutMs() : request.firstByteTimeoutMs();
        long remainingMs = lastProgressMs + allowedMs - timeSource.monotonicMs();
        if (remainingMs > 0) {
            deadline = schedule(remainingMs);
            return;
        }
        if (headReceived) {
            fail(Kind.GAP_TIMEOUT, "the answer stopped for " + allowedMs + " ms", null);
        } else {
            fail(Kind.FIRST_BYTE_TIMEOUT, "no answer began within " + allowedMs + " ms", null);
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
        deadline.cancel();
        Channel used = channel;
        if (used != null) {
            used.close();
        }
        Kind seen = previous == Phase.CONNECTING ? Kind.NOT_SENT : kind;
        listener.onFailure(new EndpointFailureException(seen, request.address(), detail, cause));
    }
}
