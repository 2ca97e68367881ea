package org.cardamomthread.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Aggregates the requests of one connection and passes them to the handler in order, one at a time.
 *
 * <p>Runs only on the connection's event loop. A request that is malformed or exceeds a limit is
 * answered with a problem document, after which the connection is closed, since it is unknown where
 * the next request would begin. Invariant: a request is refused as not run only before a handler
 * has taken it; a connection whose request a handler has taken is closed without a response.
 */
final class HttpConnectionHandler extends SimpleChannelInboundHandler<HttpObject> {

    private static final Logger LOGGER = LoggerFactory.getLogger(HttpConnectionHandler.class);

    /** Time in which a client can take a refusal before its connection is closed regardless. */
    private static final long REFUSAL_TIMEOUT_MS = 1_000;

    private static final String NO_REQUEST_ID = "none";

    private final String listenerName;
    private final HttpLimits limits;
    private final ClientGuard guard;
    private final LimitedRequestDecoder decoder;
    private final HttpHandler handler;
    private final ServerState serverState;
    private final PipelinedParts pipelined = new PipelinedParts();
    private final RequestProblems problems;
    private final ReceiveTimeouts timeouts;
    private HeldMemory held;
    private HttpRequest head;
    private ByteBuf body;
    private DefaultHttpExchange exchange;
    private long headBytes;
    private boolean rejected;
    private volatile boolean isIdle = true;

    HttpConnectionHandler(
            String listenerName,
            HttpLimits limits,
            ClientGuard guard,
            LimitedRequestDecoder decoder,
            HttpHandler handler,
            ServerState serverState) {
        super(false);
        this.listenerName = listenerName;
        this.limits = limits;
        this.guard = guard;
        this.decoder = decoder;
        this.handler = handler;
        this.serverState = serverState;
        problems = new RequestProblems(limits, guard.limits());
        timeouts = new ReceiveTimeouts(limits, guard.limits());
    }

    /** Returns whether no request is in progress or was received in part. Thread-safe. */
    boolean isIdle() {
        return isIdle;
    }

    /** Returns the monotonic time of the last progress. Thread-safe. */
    long lastProgressMs() {
        return held.lastProgressMs();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        held = guard.memory().open(() -> runOnLoop(context, () -> evict(context)));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (rejected) {
            ReferenceCountUtil.release(part);
            return;
        }
        long partHeadBytes = part instanceof HttpRequest ? decoder.lastHeadBytes() : 0;
        if (exchange == null) {
            process(context, part, partHeadBytes);
            return;
        }
        if (!pipelined.add(part, partHeadBytes)) {
            closeFor(context, LimitReason.PIPELINED_REQUESTS);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        updateState(context);
        super.channelReadComplete(context);
    }

    /** Requests that the connection is closed as soon as no request is in progress on it. */
    enum DrainEvent {
        /** The only event of this kind. */
        DRAIN
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof DrainEvent) {
            closeIfDrained(context);
            return;
        }
        if (event instanceof IdleStateEvent idle) {
            if (idle.state() == IdleState.READER_IDLE && exchange == null && head == null) {
                context.close();
            }
            if (idle.state() == IdleState.WRITER_IDLE && hasUnwrittenResponse(context)) {
                closeFor(context, LimitReason.RESPONSE_STALLED);
            }
            return;
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        discardRequest();
        pipelined.discardAll();
        timeouts.endHead();
        if (exchange != null) {
            exchange.onChannelClosed();
        }
        held.close();
        super.channelInactive(context);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        held.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOGGER.debug("a connection to the listener {} failed", listenerName, cause);
        context.close();
    }

    /** Starts the next pipelined request, if any. Must be called on the event loop. */
    void onRequestCompleted(ChannelHandlerContext context) {
        exchange = null;
        held.endServing();
        while (exchange == null && !rejected && !pipelined.isEmpty()) {
            PipelinedParts.Part next = pipelined.remove();
            process(context, next.object(), next.bytes());
        }
        updateState(context);
        closeIfDrained(context);
    }

    /** Closes the connection to make room for others unless it is in use by now. */
    void closeIfIdle(ChannelHandlerContext context) {
        if (exchange == null && head == null && !rejected) {
            closeFor(context, LimitReason.CONNECTIONS);
        }
    }

    private void closeIfDrained(ChannelHandlerContext context) {
        if (serverState.isClosingIdleConnections() && exchange == null && head == null) {
            context.close();
        }
    }

    private void process(ChannelHandlerContext context, HttpObject part, long partHeadBytes) {
        DecoderResult decoderResult = part.decoderResult();
        if (decoderResult.isFailure()) {
            ReferenceCountUtil.release(part);
            rejectUndecoded(context, decoderResult.cause());
            return;
        }
        if (part instanceof HttpRequest request) {
            beginRequest(context, request, partHeadBytes);
        }
        if (part instanceof HttpContent content) {
            addContent(context, content);
        }
    }

    private void beginRequest(
            ChannelHandlerContext context, HttpRequest request, long requestHeadBytes) {
        head = request;
        headBytes = requestHeadBytes;
        body = context.alloc().buffer();
        timeouts.endHead();
        serverState.beginRequest();
        timeouts.watchBody(
                context.executor(),
                () -> reject(context, LimitReason.BODY_TIMEOUT, problems.createBodyTimeout()),
                () -> reject(context, LimitReason.BODY_STALLED, problems.createBodyStalled()));
        HttpVersion version = request.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            reject(context, null, RequestProblems.createVersion(version));
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            reject(context, LimitReason.BODY_BYTES, problems.createBodyTooLarge());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void addContent(ChannelHandlerContext context, HttpContent content) {
        try {
            if (head == null) {
                return;
            }
            ByteBuf bytes = content.content();
            int length = bytes.readableBytes();
            if (body.readableBytes() + length > limits.maxBodyBytes()) {
                reject(context, LimitReason.BODY_BYTES, problems.createBodyTooLarge());
                return;
            }
            timeouts.markBodyProgress();
            held.addProgress(length);
            // Slices of the read buffers would take many times the length of short chunks.
            body.writeBytes(bytes);
        } finally {
            content.release();
        }
        if (content instanceof LastHttpContent) {
            dispatch(context);
        }
    }

    private void dispatch(ChannelHandlerContext context) {
        HttpRequest request = head;
        byte[] bytes = ByteBufUtil.getBytes(body);
        releaseRequest();
        ServerRequest serverRequest =
                new ServerRequest(request.method(), request.uri(), request.headers(), bytes);
        exchange =
                new DefaultHttpExchange(
                        context,
                        this,
                        serverState,
                        held,
                        serverRequest,
                        HttpUtil.isKeepAlive(request),
                        request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        held.setReceivedBytes(pipelined.heldBytes());
        held.beginServing(headBytes + bytes.length);
        try {
            handler.handle(exchange);
        } catch (RuntimeException failure) {
            exchange.respondInternalError(failure);
        }
    }

    /** Counts what is held, and watches the time that an incomplete head takes. */
    private void updateState(ChannelHandlerContext context) {
        boolean awaitsHead = exchange == null && head == null && decoder.hasPartialHead();
        if (awaitsHead) {
            timeouts.watchHead(
                    context.executor(),
                    () -> reject(context, LimitReason.HEAD_TIMEOUT, problems.createHeadTimeout()));
        } else {
            timeouts.endHead();
        }
        isIdle = exchange == null && head == null && !awaitsHead && !rejected;
        long requestBytes = head == null ? 0 : headBytes + body.capacity();
        held.setReceivedBytes(requestBytes + pipelined.heldBytes() + decoder.heldBytes());
    }

    /** Ends what the connection holds, since the process holds too much. */
    private void evict(ChannelHandlerContext context) {
        boolean hasBegunRequest = head != null || decoder.hasPartialHead();
        if (exchange == null && hasBegunRequest) {
            reject(context, LimitReason.MEMORY, RequestProblems.createOverloaded());
        } else {
            closeFor(context, LimitReason.MEMORY);
        }
    }

    private void closeFor(ChannelHandlerContext context, LimitReason reason) {
        if (context.channel().isActive()) {
            guard.listener().onLimitReached(listenerName, reason);
        }
        context.close();
    }

    private void rejectUndecoded(ChannelHandlerContext context, Throwable cause) {
        LimitReason reason = null;
        if (cause instanceof ClientLimitException limit) {
            reason = limit.reason();
        } else if (RequestProblems.isTooLong(cause)) {
            reason = LimitReason.HEADER_BYTES;
        }
        reject(context, reason, problems.createUndecoded(cause));
    }

    /** Refuses the request that is being received; the reason is null unless it is a limit. */
    private void reject(ChannelHandlerContext context, LimitReason reason, ProblemDetail problem) {
        if (rejected || !context.channel().isActive()) {
            return;
        }
        rejected = true;
        isIdle = false;
        decoder.discardAll();
        timeouts.endHead();
        discardRequest();
        pipelined.discardAll();
        if (reason != null) {
            guard.listener().onLimitReached(listenerName, reason);
        }
        ServerResponse response = problem.toResponse(NO_REQUEST_ID);
        response.setHeader(HttpHeaderNames.CONNECTION.toString(), "close");
        context.writeAndFlush(DefaultHttpExchange.encode(response))
                .addListener(written -> context.close());
        if (context.channel().isActive()) {
            context.executor()
                    .schedule(() -> context.close(), REFUSAL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void discardRequest() {
        if (head != null) {
            releaseRequest();
            serverState.endRequest();
        }
    }

    private void releaseRequest() {
        head = null;
        body.release();
        body = null;
        timeouts.endBody();
    }

    private boolean hasUnwrittenResponse(ChannelHandlerContext context) {
        ChannelOutboundBuffer unwritten = context.channel().unsafe().outboundBuffer();
        return unwritten != null && unwritten.totalPendingWriteBytes() > 0;
    }

    private static void runOnLoop(ChannelHandlerContext context, Runnable task) {
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
}
