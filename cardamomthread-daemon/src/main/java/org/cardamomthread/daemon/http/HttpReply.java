package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;

/**
 * Holds one whole answer.
 *
 * @param status the status code
 * @param headers the headers, without those that frame the body
 * @param body the body
 */
public record HttpReply(int status, HttpHeaders headers, byte[] body) {

    private static final byte[] NO_BODY = new byte[0];

    /**
     * Creates an answer with a JSON body.
     *
     * @param status the status code
     * @param json the body
     * @return the answer
     */
    public static HttpReply createJson(int status, byte[] json) {
        return create(status, "application/json", json);
    }

    /**
     * Creates an answer with a plain text body.
     *
     * @param status the status code
     * @param text the body
     * @return the answer
     */
    public static HttpReply createText(int status, String text) {
        return create(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Creates an answer without a body.
     *
     * @param status the status
     * @return the answer
     */
    public static HttpReply createEmpty(HttpResponseStatus status) {
        return new HttpReply(status.code(), new DefaultHttpHeaders(), NO_BODY);
    }

    /**
     * Creates an answer with a body of any type.
     *
     * @param status the status code
     * @param contentType the body's media type
     * @param body the body
     * @return the answer
     */
    public static HttpReply create(int status, String contentType, byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
        return new HttpReply(status, headers, body);
    }

    /**
     * Adds a header.
     *
     * @param name the header's name
     * @param value the header's value
     * @return this answer
     */
    public HttpReply with(String name, String value) {
        headers.set(name, value);
        return this;
    }
}
