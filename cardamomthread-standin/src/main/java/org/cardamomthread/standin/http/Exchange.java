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
 * Represents one HTTP request and sends its response, complete or deliberately faulty.
 *
 * <p>Confined to the event loop thread of the server.
 */
public final class Exchange {

    /** Header with the identifier of a request, repeated in its response. */
    public static final String REQUEST_ID = "X-Request-Id";

    static final AttributeKey<Boolean> SILENT = AttributeKey.valueOf("silent");

    private final Channel channel;
    private final FullHttpRequest request;
    private final QueryStringDecoder decodedUri;
    private final byte[] body;
    private final boolean keepAlive;
    private final HttpHeaders responseHeaders = new DefaultHttpHeaders();
    private final String requestId;
    private String responseRequestId;

    Exchange(Channel channel, FullHttpRequest request) {
        this.channel = channel;
        this.request = request;
        decodedUri = new QueryStringDecoder(request.uri());
        body = ByteBufUtil.getBytes(request.content());
        keepAlive = HttpUtil.isKeepAlive(request);
        String given = header(REQUEST_ID);
        requestId = given.isEmpty() ? UUID.randomUUID().toString() : given;
        responseRequestId = requestId;
    }

    /**
     * Returns whether the request has a method and a path.
     *
     * @param method the method
     * @param path the complete path, without the query
     * @return true if both are equal
     */
    public boolean matches(String method, String path) {
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
        return decodedUri.path();
    }

    /**
     * Returns the first value of a query parameter.
     *
     * @param name the name
     * @param defaultValue the value if the parameter is absent
     * @return the first value or the default
     */
    public String queryParameter(String name, String defaultValue) {
        return decodedUri.parameters().getOrDefault(name, List.of(defaultValue)).get(0);
    }

    /**
     * Returns the first value of a request header.
     *
     * @param name the name, case-insensitive
     * @return the value; empty if the header is absent
     */
    public String header(String name) {
        return request.headers().get(name, "");
    }

    /**
     * Returns the identifier of the request.
     *
     * @return the value of {@link #REQUEST_ID}, or a random UUID if the header is absent
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
     * Returns the event loop of the connection, for timers.
     *
     * @return the event loop
     */
    public EventLoop loop() {
        return channel.eventLoop();
    }

    /**
     * Returns whether the connection is open.
     *
     * @return false after the connection was closed by either side
     */
    public boolean isOpen() {
        return channel.isActive();
    }

    /**
     * Sets the request identifier of the response, to simulate a response to another request.
     *
     * @param requestId the identifier to send
     */
    public void setResponseRequestId(String requestId) {
        responseRequestId = requestId;
    }

    /**
     * Sets a header of the response.
     *
     * @param name the name
     * @param value the value
     */
    public void setHeader(String name, String value) {
        responseHeaders.set(name, value);
    }

    /**
     * Sends a complete response.
     *
     * @param status the status
     * @param document the body, written as JSON
     */
    public void reply(int status, Object document) {
        byte[] bytes = Json.write(document);
        write(fullResponse(status, bytes));
        closeUnlessKeepAlive();
    }

    /**
     * Sends the same complete response with status 200 twice.
     *
     * @param document the body, written as JSON
     */
    public void replyTwice(Object document) {
        byte[] bytes = Json.write(document);
        write(fullResponse(HttpResponseStatus.OK.code(), bytes));
        write(fullResponse(HttpResponseStatus.OK.code(), bytes));
    }

    /**
     * Sends the length of the complete body but only half of the body, and closes the connection.
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

    /** Starts a response of server-sent events. */
    public void startStream() {
        HttpResponse head = head(HttpResponseStatus.OK.code(), "text/event-stream");
        HttpUtil.setTransferEncodingChunked(head, true);
        write(head);
    }

    /**
     * Sends server-sent events.
     *
     * @param events the events, each with its terminating blank line
     */
    public void sendEvents(String events) {
        write(new DefaultHttpContent(Unpooled.copiedBuffer(events, UTF_8)));
    }

    /** Ends the response that {@link #startStream} started. */
    public void endStream() {
        write(LastHttpContent.EMPTY_LAST_CONTENT);
        closeUnlessKeepAlive();
    }

    /** Resets the connection (TCP RST). */
    public void reset() {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        channel.close();
    }

    /** Keeps the connection open, but stops reading from it and writing to it. */
    public void stopResponding() {
        channel.attr(SILENT).set(true);
        channel.config().setAutoRead(false);
    }

    private void write(Object message) {
        if (channel.attr(SILENT).get() == null) {
            channel.writeAndFlush(message);
        }
    }

    private void closeUnlessKeepAlive() {
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
        head.headers().set(responseHeaders);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        head.headers().set(REQUEST_ID, responseRequestId);
        if (!keepAlive) {
            head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return head;
    }
}
