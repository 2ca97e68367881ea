package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;

/** Ends the span of an attempt with its last event. Not thread-safe. */
final class SpanEndingListener implements EndpointResponseListener {

    private final Span span;
    private final EndpointResponseListener delegate;

    SpanEndingListener(Span span, EndpointResponseListener delegate) {
        this.span = span;
        this.delegate = delegate;
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
        span.setAttribute("http.response.status_code", status);
        delegate.onHead(status, headers);
    }

    @Override
    public void onBodyPart(byte[] part) {
        delegate.onBodyPart(part);
    }

    @Override
    public void onComplete() {
        span.end();
        delegate.onComplete();
    }

    @Override
    public void onFailure(EndpointFailureException failure) {
        span.setStatus(StatusCode.ERROR, failure.getMessage());
        span.end();
        delegate.onFailure(failure);
    }
}
