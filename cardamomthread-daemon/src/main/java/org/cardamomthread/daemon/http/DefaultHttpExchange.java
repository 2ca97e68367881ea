package org.cardamomthread.daemon.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.OptionalLong;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.cardamomthread.execution.ExecutionStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Implements the exchange of one request on a connection.
 *
 * <p>Invariants: the request counts as in progress until the last byte of its response was written
 * or the connection was closed; a stream looks complete to the client only if it was finished and
 * every part of it was written. Thread-safe; writes are performed in order on the event loop.
 */
final class DefaultHttpExchange implements HttpExchange {

    private static final Logger LOGGER = LoggerFactory.getLogger(DefaultHttpExchange.class);
    private static final int NO_LINGER = -1;

    private final ChannelHandlerContext context;
    private final HttpConnectionHandler connection;
    private final ServerState serverState;
    private final HeldMemory held;
    private final ServerRequest request;
    private final boolean keepAlive;
    private final boolean acceptsChunks;
    private final AtomicBoolean responded = new AtomicBoolean();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final AtomicLong pendingBytes = new AtomicLong();
    private Runnable disconnectAction;
    private boolean disconnected;

    DefaultHttpExchange(
            ChannelHandlerContext context,
            HttpConnectionHandler connection,
            ServerState serverState,
            HeldMemory held,
            ServerRequest request,
            boolean keepAlive,
            boolean acceptsChunks) {
        this.context = context;
        this.connection = connection;
        this.serverState = serverState;
        this.held = held;
        this.request = request;
        this.keepAlive = keepAlive;
        this.acceptsChunks = acceptsChunks;
    }

    static FullHttpResponse encode(ServerResponse response) {
        FullHttpResponse nettyResponse =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(response.status()),
                        Unpooled.wrappedBuffer(response.body()));
        nettyResponse.headers().add(response.headers());
        HttpUtil.setContentLength(nettyResponse, response.body().length);
        return nettyResponse;
    }

    @Override
    public ServerRequest getRequest() {
        return request;
    }

    @Override
    public void respond(ServerResponse response) {
        if (!responded.compareAndSet(false, true)) {
            return;
        }
        FullHttpResponse nettyResponse = encode(response);
        boolean close = addCloseHeaderIfNeeded(nettyResponse.headers(), keepAlive);
        int length = response.body().length;
        held.addUnwritten(length);
        context.writeAndFlush(nettyResponse)
                .addListener(
                        written -> {
                            held.removeUnwritten(length);
                            onResponseWritten(written, close);
                        });
    }

    @Override
    public ResponseStream startStream(int status, HttpHeaders headers) {
        if (!responded.compareAndSet(false, true)) {
            throw new IllegalStateException("the request has already been answered");
        }
        DefaultHttpResponse nettyResponse =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        nettyResponse.headers().add(headers);
        boolean close = addCloseHeaderIfNeeded(nettyResponse.headers(), keepAlive && acceptsChunks);
        if (acceptsChunks) {
            HttpUtil.setTransferEncodingChunked(nettyResponse, true);
        } else {
            resetWhenClosed(true);
        }
        context.writeAndFlush(nettyResponse).addListener(this::closeIfNotWritten);
        return new DefaultResponseStream(close);
    }

    @Override
    public void onDisconnect(Runnable action) {
        synchronized (this) {
            if (!disconnected) {
                disconnectAction = action;
                return;
            }
        }
        action.run();
    }

    void onChannelClosed() {
        Runnable action;
        synchronized (this) {
            disconnected = true;
            action = disconnectAction;
        }
        if (ended.compareAndSet(false, true)) {
            serverState.endRequest();
            if (action != null) {
                action.run();
            }
        }
    }

    void respondInternalError(RuntimeException failure) {
        LOGGER.error("request handler failed on {}", request.path(), failure);
        respond(
                new ProblemDetail(
                                500,
                                "internal-error",
                                "Internal error",
                                "the node failed to process the request: see its log, and retry"
                                        + " only if the call may be repeated",
                                ExecutionStatus.UNKNOWN,
                                OptionalLong.empty())
                        .toResponse("none"));
    }

    private boolean addCloseHeaderIfNeeded(HttpHeaders headers, boolean mayKeepAlive) {
        boolean close = !mayKeepAlive || serverState.isDraining();
        if (close) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return close;
    }

    /**
     * Sets whether the connection is reset when it is closed. Without chunks, an orderly close
     * would complete the body, even one by the operating system when this process ends.
     */
    private void resetWhenClosed(boolean reset) {
        try {
            context.channel().config().setOption(ChannelOption.SO_LINGER, reset ? 0 : NO_LINGER);
        } catch (ChannelException closed) {
            LOGGER.debug("the client has closed the connection", closed);
        }
    }

    private void onResponseWritten(Future<?> written, boolean close) {
        closeIfNotWritten(written);
        if (!written.isSuccess() || !ended.compareAndSet(false, true)) {
            return;
        }
        serverState.endRequest();
        if (close) {
            context.close();
            return;
        }
        connection.onRequestCompleted(context);
    }

    /**
     * A client would take what follows a part that was not written for the rest of the response.
     */
    private void closeIfNotWritten(Future<?> written) {
        if (written.isSuccess()) {
            return;
        }
        if (!context.channel().isActive()) {
            LOGGER.debug("the client has closed the connection", written.cause());
            return;
        }
        LOGGER.warn(
                "a part of the response to {} could not be written; its connection is closed",
                request.path(),
                written.cause());
        context.close();
    }

    private void runOnLoop(Runnable task) {
        if (context.executor().inEventLoop()) {
            task.run();
            return;
        }
        try {
            context.executor().execute(task);
        } catch (RejectedExecutionException stopped) {
            LOGGER.debug("the event loop of the connection has been stopped", stopped);
        }
    }

    /**
     * Writes a response body in chunks, or up to the end of the connection for HTTP/1.0.
     *
     * <p>Invariant: nothing is written once the stream was finished or aborted, since the next
     * response on the connection may have begun.
     */
    private final class DefaultResponseStream implements ResponseStream {

        private final boolean close;
        private boolean isEnded;

        DefaultResponseStream(boolean close) {
            this.close = close;
        }

        @Override
        public void write(byte[] part) {
            pendingBytes.addAndGet(part.length);
            held.addUnwritten(part.length);
            runOnLoop(() -> writeUnlessEnded(part));
        }

        private void writeUnlessEnded(byte[] part) {
            if (isEnded) {
                endPending(part.length);
                logLateCall("a part of " + part.length + " bytes");
                return;
            }
            context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)))
                    .addListener(
                            written -> {
                                endPending(part.length);
                                closeIfNotWritten(written);
                            });
        }

        private void endPending(int length) {
            pendingBytes.addAndGet(-length);
            held.removeUnwritten(length);
        }

        @Override
        public void finish() {
            runOnLoop(this::finishUnlessEnded);
        }

        private void finishUnlessEnded() {
            if (isEnded) {
                logLateCall("an end");
                return;
            }
            isEnded = true;
            context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(this::onStreamWritten);
        }

        private void onStreamWritten(Future<?> written) {
            if (!acceptsChunks && written.isSuccess()) {
                resetWhenClosed(false);
            }
            onResponseWritten(written, close);
        }

        @Override
        public void abort() {
            runOnLoop(this::closeUnlessWritten);
        }

        private void closeUnlessWritten() {
            if (ended.get()) {
                logLateCall("an abort");
                return;
            }
            isEnded = true;
            context.close();
        }

        private void logLateCall(String call) {
            LOGGER.warn(
                    "{} came after the end of the response to {} and is ignored",
                    call,
                    request.path());
        }

        @Override
        public long getPendingBytes() {
            return pendingBytes.get();
        }
    }
}
