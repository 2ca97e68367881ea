package org.cardamomthread.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
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
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Aggregates the requests of one connection and passes them to the handler in order, one at a time.
 *
 * <p>Runs only on the connection's event loop. A request that is malformed or exceeds a limit is
 * answered with a problem document, after which the connection is closed, since it is unknown where
 * the next request would begin.
 */
final class HttpConnectionHandler extends SimpleChannelInboundHandler<HttpObject> {

    /** Maximum number of parts of pipelined requests that wait for the request in progress. */
    private static final int MAX_QUEUED_PIPELINED_PARTS = 64;

    private static final String NO_REQUEST_ID = "none";

    private final HttpLimits limits;
    private final HttpHandler handler;
    private final ServerState serverState;
    private final Queue<HttpObject> pipelined = new ArrayDeque<>();
    private HttpRequest head;
    private CompositeByteBuf body;
    private ScheduledFuture<?> bodyTimeout;
    private DefaultHttpExchange exchange;
    private boolean rejected;

    HttpConnectionHandler(HttpLimits limits, HttpHandler handler, ServerState serverState) {
        super(false);
        this.limits = limits;
        this.handler = handler;
        this.serverState = serverState;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (rejected) {
            ReferenceCountUtil.release(part);
            return;
        }
        if (exchange == null) {
            process(context, part);
            return;
        }
        if (pipelined.size() >= MAX_QUEUED_PIPELINED_PARTS) {
            ReferenceCountUtil.release(part);
            context.close();
            return;
        }
        pipelined.add(part);
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
        if (event instanceof IdleStateEvent) {
            if (exchange == null && head == null) {
                context.close();
            }
            return;
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        discardRequest();
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        if (exchange != null) {
            exchange.onChannelClosed();
        }
        super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /** Starts the next pipelined request, if any. Must be called on the event loop. */
    void onRequestCompleted(ChannelHandlerContext context) {
        exchange = null;
        while (exchange == null && !rejected && !pipelined.isEmpty()) {
            process(context, pipelined.remove());
        }
        closeIfDrained(context);
    }

    private void closeIfDrained(ChannelHandlerContext context) {
        if (serverState.isClosingIdleConnections() && exchange == null && head == null) {
            context.close();
        }
    }

    private void process(ChannelHandlerContext context, HttpObject part) {
        DecoderResult decoderResult = part.decoderResult();
        if (decoderResult.isFailure()) {
            ReferenceCountUtil.release(part);
            reject(context, createDecodingProblem(decoderResult.cause()));
            return;
        }
        if (part instanceof HttpRequest request) {
            beginRequest(context, request);
        }
        if (part instanceof HttpContent content) {
            addContent(context, content);
        }
    }

    private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
        head = request;
        body = context.alloc().compositeBuffer();
        serverState.beginRequest();
        bodyTimeout =
                context.executor()
                        .schedule(
                                () -> reject(context, createBodyTimeoutProblem()),
                                limits.bodyTimeoutMs(),
                                TimeUnit.MILLISECONDS);
        HttpVersion version = request.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            reject(context, createVersionProblem(version));
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            reject(context, createBodyTooLargeProblem());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void addContent(ChannelHandlerContext context, HttpContent content) {
        if (head == null) {
            content.release();
            return;
        }
        ByteBuf bytes = content.content();
        if (body.readableBytes() + bytes.readableBytes() > limits.maxBodyBytes()) {
            content.release();
            reject(context, createBodyTooLargeProblem());
            return;
        }
        body.addComponent(true, bytes);
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
                        serverRequest,
                        HttpUtil.isKeepAlive(request),
                        request.protocolVersion().equals(HttpVersion.HTTP_1_1));
        try {
            handler.handle(exchange);
        } catch (RuntimeException failure) {
            exchange.respondInternalError(failure);
        }
    }

    private void reject(ChannelHandlerContext context, ProblemDetail problem) {
        if (rejected || !context.channel().isActive()) {
            return;
        }
        rejected = true;
        discardRequest();
        ServerResponse response = problem.toResponse(NO_REQUEST_ID);
        response.setHeader(HttpHeaderNames.CONNECTION.toString(), "close");
        context.writeAndFlush(DefaultHttpExchange.encode(response))
                .addListener(written -> context.close());
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
        bodyTimeout.cancel(false);
    }

    private ProblemDetail createDecodingProblem(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException
                || cause instanceof TooLongHttpLineException) {
            return ProblemDetail.createNotRun(
                    431,
                    "headers-too-large",
                    "Request headers too large",
                    "the request line or header block is longer than "
                            + limits.maxHeaderBytes()
                            + " bytes: send shorter headers, or raise limits.maxHeaderBytes");
        }
        return ProblemDetail.createNotRun(
                400,
                "malformed-request",
                "Malformed HTTP request",
                "the request is not valid HTTP/1.1 ("
                        + cause.getMessage()
                        + "): correct the request");
    }

    private static ProblemDetail createVersionProblem(HttpVersion version) {
        return ProblemDetail.createNotRun(
                505,
                "unsupported-http-version",
                "HTTP version not supported",
                version + " is not supported: use HTTP/1.1");
    }

    private ProblemDetail createBodyTooLargeProblem() {
        return ProblemDetail.createNotRun(
                413,
                "body-too-large",
                "Request body too large",
                "the body is longer than "
                        + limits.maxBodyBytes()
                        + " bytes: send a shorter one, or raise limits.maxBodyBytes");
    }

    private ProblemDetail createBodyTimeoutProblem() {
        return ProblemDetail.createNotRun(
                408,
                "body-timeout",
                "Request body too slow",
                "the request was not received completely within "
                        + limits.bodyTimeoutMs()
                        + " ms: retry the request, or raise limits.bodyTimeoutMs");
    }
}
