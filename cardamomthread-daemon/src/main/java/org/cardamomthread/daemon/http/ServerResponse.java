package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/**
 * Represents a complete response.
 *
 * @param status the status code
 * @param headers the headers, without those that define the length of the body
 * @param body the body
 */
public record ServerResponse(int status, HttpHeaders headers, byte[] body) {

    private static final byte[] EMPTY_BODY = new byte[0];

    /**
     * Creates a response with a JSON body.
     *
     * @param status the status code
     * @param json the body in UTF-8
     * @return the response
     */
    public static ServerResponse createJson(int status, byte[] json) {
        return create(status, "application/json", json);
    }

    /**
     * Creates a response with a plain text body.
     *
     * @param status the status code
     * @param text the body, which is sent in UTF-8
     * @return the response
     */
    public static ServerResponse createText(int status, String text) {
        return create(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates a response with an empty body.
     *
     * @param status the status
     * @return the response
     */
    public static ServerResponse createEmpty(HttpResponseStatus status) {
        return new ServerResponse(status.code(), new DefaultHttpHeaders(), EMPTY_BODY);
    }

    /**
     * Creates a response with a body of the given media type.
     *
     * @param status the status code
     * @param contentType the media type of the body
     * @param body the body
     * @return the response
     */
    public static ServerResponse create(int status, String contentType, byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
        return new ServerResponse(status, headers, body);
    }

    /**
     * Sets a header of this response, replacing existing values.
     *
     * @param name the name of the header
     * @param value the value of the header
     * @return this response
     */
    public ServerResponse setHeader(String name, String value) {
        headers.set(name, value);
        return this;
    }
}
