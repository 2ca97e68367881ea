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
 * Collects the requests of one connection and hands them over one at a time, in order.
 *
 * <p>Runs on the connection's event loop only. A request that breaks a limit is answered with a
 * problem document, after which the connection is closed, since the rest of its bytes has no known
 * framing.
 */
final class HttpConnectionHandler extends SimpleChannelInboundHandler<HttpObject> {

    /** Parts of pipelined requests that wait behind the one in progress. */
    private static final int MAX_PIPELINED_PARTS = 64;

    private static final String NO_REQUEST_ID = "none";

    private final HttpLimits limits;
    private final HttpHandler handler;
    private final ServerActivity activity;
    private final Queue<HttpObject> pipelined = new ArrayDeque<>();
    private HttpRequest head;
    private CompositeByteBuf body;
    private ScheduledFuture<?> bodyTimeout;
    private DefaultHttpExchange exchange;
    private boolean refused;

    HttpConnectionHandler(HttpLimits limits, HttpHandler handler, ServerActivity activity) {
        super(false);
        this.limits = limits;
        this.handler = handler;
        this.activity = activity;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (refused) {
            ReferenceCountUtil.release(part);
            return;
        }
        if (exchange == null) {
            accept(context, part);
            return;
        }
        if (pipelined.size() >= MAX_PIPELINED_PARTS) {
            ReferenceCountUtil.release(part);
            context.close();
            return;
        }
        pipelined.add(part);
    }

    /** Asks a connection to close as soon as it carries no request. */
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
            exchange.disconnect();
        }
        super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }

    /** Makes way for the next request; called on the event loop. */
    void complete(ChannelHandlerContext context) {
        exchange = null;
        while (exchange == null && !refused && !pipelined.isEmpty()) {
            accept(context, pipelined.remove());
        }
        closeIfDrained(context);
    }

    private void closeIfDrained(ChannelHandlerContext context) {
        if (activity.isClosingIdle() && exchange == null && head == null) {
            context.close();
        }
    }

    private void accept(ChannelHandlerContext context, HttpObject part) {
        DecoderResult decoded = part.decoderResult();
        if (decoded.isFailure()) {
            ReferenceCountUtil.release(part);
            refuse(context, createDecodingProblem(decoded.cause()));
            return;
        }
        if (part instanceof HttpRequest request) {
            begin(context, request);
        }
        if (part instanceof HttpContent content) {
            addContent(context, content);
        }
    }

    private void begin(ChannelHandlerContext context, HttpRequest request) {
        head = request;
        body = context.alloc().compositeBuffer();
        activity.begin();
        bodyTimeout =
                context.executor()
                        .schedule(
                                () -> refuse(context, createSlowBodyProblem()),
                                limits.bodyTimeoutMs(),
                                TimeUnit.MILLISECONDS);
        HttpVersion version = request.protocolVersion();
        if (!version.equals(HttpVersion.HTTP_1_1) && !version.equals(HttpVersion.HTTP_1_0)) {
            refuse(context, createVersionProblem(version));
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            refuse(context, createBodyTooLargeProblem());
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
            refuse(context, createBodyTooLargeProblem());
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
        String target = request.uri();
        int queryStart = target.indexOf('?');
        String path = queryStart < 0 ? target : target.substring(0, queryStart);
        String query = queryStart < 0 ? "" : target.substring(queryStart + 1);
        HttpCall call = new HttpCall(request.method(), path, query, request.headers(), bytes);
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        exchange = new DefaultHttpExchange(context, this, activity, call, keepAlive);
        try {
            handler.handle(exchange);
        } catch (RuntimeException failure) {
            exchange.fail(failure);
        }
    }

    private void refuse(ChannelHandlerContext context, Problem problem) {
        if (refused || !context.channel().isActive()) {
            return;
        }
        refused = true;
        discardRequest();
        HttpReply reply = problem.toReply(NO_REQUEST_ID);
        reply.with(HttpHeaderNames.CONNECTION.toString(), "close");
        context.writeAndFlush(DefaultHttpExchange.encode(reply))
                .addListener(written -> context.close());
    }

    private void discardRequest() {
        if (head != null) {
            releaseRequest();
            activity.end();
        }
    }

    private void releaseRequest() {
        head = null;
        body.release();
        body = null;
        bodyTimeout.cancel(false);
    }

    private Problem createDecodingProblem(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException
                || cause instanceof TooLongHttpLineException) {
            return Problem.createNotRun(
                    431,
                    "headers-too-large",
                    "Request headers too large",
                    "the request line or header block is longer than "
                            + limits.maxHeaderBytes()
                            + " bytes: send shorter headers, or raise limits.maxHeaderBytes");
        }
        return Problem.createNotRun(
                400,
                "malformed-request",
                "Malformed HTTP request",
                "the request is not valid HTTP/1.1 (" + cause.getMessage() + "): send it anew");
    }

    private static Problem createVersionProblem(HttpVersion version) {
        return Problem.createNotRun(
                505,
                "unsupported-http-version",
                "HTTP version not supported",
                version + " is not served: use HTTP/1.1");
    }

    private Problem createBodyTooLargeProblem() {
        return Problem.createNotRun(
                413,
                "body-too-large",
                "Request body too large",
                "the body is longer than "
                        + limits.maxBodyBytes()
                        + " bytes: send a shorter one, or raise limits.maxBodyBytes");
    }

    private Problem createSlowBodyProblem() {
        return Problem.createNotRun(
                408,
                "body-timeout",
                "Request body too slow",
                "the request did not arrive whole within "
                        + limits.bodyTimeoutMs()
                        + " ms: send it anew, or raise limits.bodyTimeoutMs");
    }
}
