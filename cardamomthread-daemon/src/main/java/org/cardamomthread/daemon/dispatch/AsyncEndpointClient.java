package org.cardamomthread.daemon.dispatch;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.util.HashedWheelTimer;
import io.netty.util.Timer;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLEngine;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.AsyncHttpClientConfig;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.uri.Uri;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.http.FairReads;
import org.cardamomthread.daemon.http.StatusLineValidator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends attempts through AsyncHttpClient, whose own retries and redirects are disabled.
 *
 * <p>Invariant: a connection carries one attempt. Nothing that an endpoint writes late can precede
 * the response to another request, where a part of it would be joined with that response: an
 * identifier tells whole responses apart, not parts of them.
 *
 * <p>Invariant: the request target goes out as given, without a parser of URLs on its way.
 *
 * <p>Connections on which bytes arrive that are no response are closed, and only an orderly close
 * by the endpoint ends a response. An endpoint that sends without end takes no more than its turn
 * of the event loop. Thread-safe.
 */
public final class AsyncEndpointClient implements EndpointClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(AsyncEndpointClient.class);

    /** Default connect timeout, which allows for several round trips between regions. */
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(800);

    private static final long TIMER_TICK_MS = 20;
    private static final int NO_TIMEOUT_MS = -1;

    private final TimeSource timeSource;
    private final Duration connectTimeout;
    private final Timer timer = new HashedWheelTimer(TIMER_TICK_MS, TimeUnit.MILLISECONDS);
    private final AsyncHttpClient client;

    /**
     * Creates a client.
     *
     * @param eventLoops the event loops for the client's connections; not closed by the client
     * @param timeSource the clock that progress timeouts are measured by
     */
    public AsyncEndpointClient(EventLoopGroup eventLoops, TimeSource timeSource) {
        this(eventLoops, timeSource, DEFAULT_CONNECT_TIMEOUT);
    }

    /**
     * Creates a client.
     *
     * @param eventLoops the event loops for the client's connections; not closed by the client
     * @param timeSource the clock that progress timeouts are measured by
     * @param connectTimeout maximum time to establish a connection
     */
    public AsyncEndpointClient(
            EventLoopGroup eventLoops, TimeSource timeSource, Duration connectTimeout) {
        this.timeSource = timeSource;
        this.connectTimeout = connectTimeout;
        this.client = createClient(eventLoops);
    }

    @Override
    public EndpointAttempt start(EndpointRequest request, EndpointResponseListener listener) {
        AttemptHandler handler = new AttemptHandler(request, listener, timer, timeSource);
        handler.attach(client.executeRequest(createRequest(request), handler));
        return handler;
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException failure) {
            LOGGER.warn("failed to close the endpoint client", failure);
        }
        timer.stop();
    }

    private Request createRequest(EndpointRequest request) {
        RequestBuilder builder =
                new RequestBuilder(request.method().name(), true, false)
                        .setUri(createUri(request))
                        .setHeaders(request.headers());
        if (request.body().length > 0) {
            builder.setBody(request.body());
        }
        return builder.build();
    }

    /** Keeps the target away from the parser of URLs, which removes dot segments and fragments. */
    private static Uri createUri(EndpointRequest request) {
        Uri address = Uri.create("http://" + request.address());
        return new Uri(
                address.getScheme(),
                null,
                address.getHost(),
                address.getPort(),
                request.target(),
                null,
                null);
    }

    private AsyncHttpClient createClient(EventLoopGroup eventLoops) {
        return new DefaultAsyncHttpClient(
                new DefaultAsyncHttpClientConfig.Builder()
                        .setEventLoopGroup(eventLoops)
                        .setNettyTimer(timer)
                        .setHttpAdditionalChannelInitializer(AsyncEndpointClient::addHandlers)
                        .addChannelOption(
                                ChannelOption.RECVBUF_ALLOCATOR, FairReads.createAllocator())
                        .setKeepAlive(false)
                        .setMaxRequestRetry(0)
                        .setFollowRedirect(false)
                        .setSslEngineFactory(AsyncEndpointClient::refuseTls)
                        .setEnableAutomaticDecompression(false)
                        .setDisableUrlEncodingForBoundRequests(true)
                        .setCookieStore(null)
                        .setUserAgent(null)
                        .setConnectTimeout(connectTimeout)
                        .setRequestTimeout(Duration.ofMillis(NO_TIMEOUT_MS))
                        .setReadTimeout(Duration.ofMillis(NO_TIMEOUT_MS))
                        .build());
    }

    /** Spares the default factory, which loads the TLS provider whenever a client is created. */
    private static SSLEngine refuseTls(AsyncHttpClientConfig config, String host, int port) {
        throw new UnsupportedOperationException(
                "endpoint " + host + ":" + port + " must be called over plain HTTP");
    }

    /** Handlers behind the codec go directly behind it, so that the aggregator comes last. */
    private static void addHandlers(Channel channel) {
        ContentAggregator.addTo(channel);
        ResponseByteLimiter.addTo(channel);
        OrderlyCloseGuard.addTo(channel);
        StatusLineValidator.addTo(channel);
    }
}
