package org.cardamomthread.daemon.testing;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.ResponseStream;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.daemon.http.ServerResponse;

/** Records the response that a caller receives. */
public final class RecordedExchange implements HttpExchange, ResponseStream {

    private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");

    private final ServerRequest call;
    private final StringBuilder text = new StringBuilder();
    private Runnable disconnectAction = () -> {};
    private int status;
    private HttpHeaders responseHeaders = new DefaultHttpHeaders();
    private boolean complete;
    private boolean aborted;

    public RecordedExchange(String path, String body) {
        this(path, body, new DefaultHttpHeaders());
    }

    public RecordedExchange(String path, String body, HttpHeaders headers) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call = new ServerRequest(HttpMethod.POST, path, headers, bytes);
    }

    public int getStatus() {
        return status;
    }

    /** Returns a header of the response, or null if it is missing. */
    public String getResponseHeader(String name) {
        return responseHeaders.get(name);
    }

    public String getBody() {
        return text.toString();
    }

    public boolean isComplete() {
        return complete;
    }

    public boolean isAborted() {
        return aborted;
    }

    public List<String> getTokens() {
        List<String> tokens = new ArrayList<>();
        Matcher matcher = CONTENT.matcher(text);
        while (matcher.find()) {
            tokens.add(matcher.group(1));
        }
        return tokens;
    }

    public void disconnect() {
        disconnectAction.run();
    }

    @Override
    public ServerRequest getRequest() {
        return call;
    }

    @Override
    public void respond(ServerResponse reply) {
        if (status != 0) {
            return;
        }
        status = reply.status();
        responseHeaders = reply.headers();
        text.append(new String(reply.body(), StandardCharsets.UTF_8));
        complete = true;
    }

    @Override
    public ResponseStream startStream(int streamStatus, HttpHeaders headers) {
        status = streamStatus;
        responseHeaders = headers;
        return this;
    }

    @Override
    public void onDisconnect(Runnable action) {
        disconnectAction = action;
    }

    @Override
    public void write(byte[] part) {
        text.append(new String(part, StandardCharsets.UTF_8));
    }

    @Override
    public void finish() {
        complete = true;
    }

    @Override
    public void abort() {
        aborted = true;
    }

    @Override
    public long getPendingBytes() {
        return 0;
    }
}
