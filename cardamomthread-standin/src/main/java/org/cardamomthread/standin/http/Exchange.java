package org.cardamomthread.standin.http;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.AttributeKey;
import java.util.List;
import java.util.UUID;

/**
 * Holds one request and answers it, whole or broken.
 *
 * <p>Used on the one thread of the server only.
 */
public final class Exchange {

    /** Name of the header that a request and its answer share. */
    public static final String REQUEST_ID = "X-Request-Id";

    static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("silent");

    private final Channel channel;
    private final FullHttpRequest request;
    private final QueryStringDecoder target;
    private final byte[] body;
    private final boolean keepAlive;
    private final HttpHeaders answerHeaders = new DefaultHttpHeaders();
    private final String requestId;
    private String answeredId;

    Exchange(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        this.request = request;
        target = new QueryStringDecoder(request.uri());
        body = ByteBufUtil.getBytes(request.content());
        keepAlive = HttpUtil.isKeepAlive(request);
        String given = header(REQUEST_ID);
        requestId = given.isEmpty() ? UUID.randomUUID().toString() : given;
        answeredId = requestId;
    }

    /**
     * Tells whether the request has a method and a path.
     *
     * @param method the method
     * @param path the whole path
     * @return true if both are the same
     */
    public boolean is(String method, String path) {
        return request.method().name().equals(method) && path().equals(path);
    }

    /**
     * Returns the method.
     *
     * @return the name in upper case
     */
    public String method() {
        return request.method().name();
    }

    /**
     * Returns the path without the query.
     *
     * @return the decoded path
     */
    public String path() {
        return target.path();
    }

    /**
     * Returns a parameter of the query.
     *
     * @param name the name
     * @param absent the value if there is none
     * @return the first value
     */
    public String query(String name, String absent) {
        return target.parameters().getOrDefault(name, List.of(absent)).get(0);
    }

    /**
     * Returns a header.
     *
     * @param name the name in any case
     * @return the first value, empty if there is none
     */
    public String header(String name) {
        return request.headers().get(name, "");
    }

    /**
     * Returns the request's identifier.
     *
     * @return the one that the caller gave, or a new one
     */
    public String requestId() {
        return requestId;
    }

    /**
     * Returns the body.
     *
     * @return its bytes
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the thread of the server, for timers.
     *
     * @return the event loop
     */
    public EventLoop loop() {
        return channel.eventLoop();
    }

    /**
     * Tells whether the caller is still connected.
     *
     * @return false after the connection was closed by either side
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Answers under another request identifier.
     *
     * @param requestId the wrong identifier
     */
    public void answerAs(String requestId) {
        answeredId = requestId;
    }

    /**
     * Adds a header to the answer.
     *
     * @param name the name
     * @param value the value
     */
    public void setHeader(String name, String value) {
        answerHeaders.set(name, value);
    }

    /**
     * Answers whole.
     *
     * @param status the status
     * @param document the body, written as JSON
     */
    public void reply(int status, Object document) {
        byte[] bytes = Json.write(document);
        write(fullResponse(status, bytes));
        finish();
    }

    /**
     * Answers whole and then sends the same answer again.
     *
     * @param document the body, written as JSON
     */
    public void replyTwice(Object document) {
        byte[] bytes = Json.write(document);
        write(fullResponse(HttpResponseStatus.OK.code(), bytes));
        write(fullResponse(HttpResponseStatus.OK.code(), bytes));
    }

    /**
     * Announces the whole body, sends half of it and closes the connection.
     *
     * @param document the body, written as JSON
     */
    public void replyTruncated(Object document) {
        byte[] bytes = Json.write(document);
        HttpResponse head = head(HttpResponseStatus.OK.code(), "application/json");
        HttpUtil.setContentLength(head, bytes.length);
        write(head);
        channel.writeAndFlush(
                        new DefaultHttpContent(Unpooled.wrappedBuffer(bytes, 0, bytes.length / 2)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    /** Begins a stream of server-sent events. */
    public void startStream() {
        HttpResponse head = head(HttpResponseStatus.OK.code(), "text/event-stream");
        HttpUtil.setTransferEncodingChunked(head, true);
        write(head);
    }

    /**
     * Sends events of a stream.
     *
     * @param events their text with all line ends
     */
    public void stream(String events) {
        write(new DefaultHttpContent(Unpooled.copiedBuffer(events, UTF_8)));
    }

    /** Ends a stream. */
    public void endStream() {
        write(LastHttpContent.EMPTY_LAST_CONTENT);
        finish();
    }

    /** Resets the connection. */
    public void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Leaves the connection open and never writes to it or reads from it again. */
    public void silence() {
        channel.attr(SILENT).set(true);
        channel.config().setAutoRead(false);
    }

    private void write(Object message) {
        if (channel.attr(SILENT).get() == null) {
            channel.writeAndFlush(message);
        }
    }

    private void finish() {
        if (!keepAlive) {
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    private DefaultFullHttpResponse fullResponse(int status, byte[] bytes) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(bytes));
        response.headers().set(head(status, "application/json").headers());
        HttpUtil.setContentLength(response, bytes.length);
        return response;
    }

    private HttpResponse head(int status, String contentType) {
        HttpResponse head =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        head.headers().set(answerHeaders);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        head.headers().set(REQUEST_ID, answeredId);
        if (!keepAlive) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return head;
    }
}
