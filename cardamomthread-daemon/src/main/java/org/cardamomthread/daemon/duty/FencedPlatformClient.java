package org.cardamomthread.daemon.duty;

import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncCompletionHandlerBase;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.PlatformCall;
import org.cardamomthread.daemon.http.FairReads;
import org.cardamomthread.daemon.http.StatusLineValidator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends calls to the platform's API, each at most once.
 *
 * <p>Invariants: a call that timed out can no longer reach the platform. Its connection is reset,
 * since after an orderly close the host would still deliver data that was delayed by a network
 * failure, and the platform would receive a call of a former leader after those of its successor. A
 * call is written soon after it was decided on, or never: a process that stands still while it
 * connects may no longer be the leader when it goes on. A connection carries one call, since
 * nothing in a response tells to which call it belongs. At most {@value #MAX_RESPONSE_BYTES} bytes
 * of a response are kept. Thread-safe.
 */
public final class FencedPlatformClient implements AutoCloseable {

    /**
     * Timeout of a call, as the platform may be slow. Must be shorter than the time for which the
     * next holder of the controller lease waits.
     */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    /** Longest time between the decision on a call and the moment at which it is written. */
    static final long MAX_WRITE_DELAY_MS = 500;

    /** Many times the length of the platform's responses, of which only the status is used. */
    static final int MAX_RESPONSE_BYTES = 64 * 1024;

    private static final int MIN_FINAL_STATUS = 200;

    /**
     * A linger time of 0 seconds, with which closing resets the connection and discards unsent
     * data.
     */
    private static final int RESET_ON_CLOSE_LINGER_S = 0;

    private static final Logger LOGGER = LoggerFactory.getLogger(FencedPlatformClient.class);

    private final AsyncHttpClient client;
    private final String baseUrl;
    private final TimeSource timeSource;

    /**
     * Creates a client with its own connections.
     *
     * @param address the address of the platform's API as {@code ip:port}
     * @param eventLoops the event loops of its connections, which are not shut down by {@link
     *     #close}
     * @param timeSource supplies monotonic time, including time for which the host was suspended
     */
    public FencedPlatformClient(String address, EventLoopGroup eventLoops, TimeSource timeSource) {
        this.timeSource = timeSource;
        baseUrl = "http://" + address;
        client =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setEventLoopGroup(eventLoops)
                                .setKeepAlive(false)
                                .setConnectTimeout(REQUEST_TIMEOUT)
                                .setRequestTimeout(REQUEST_TIMEOUT)
                                .setSoLinger(RESET_ON_CLOSE_LINGER_S)
                                .addChannelOption(
                                        ChannelOption.RECVBUF_ALLOCATOR,
                                        FairReads.createAllocator())
                                .setHttpAdditionalChannelInitializer(StatusLineValidator::addTo)
                                .setMaxRequestRetry(0));
    }

    /**
     * Sends a call to the platform.
     *
     * @param call the call to send
     * @return a future that completes with the HTTP status code, or fails if the call could not be
     *     written or no response was received in time
     */
    public CompletableFuture<Integer> send(PlatformCall call) {
        return client.preparePost(baseUrl + call.path())
                .setHeaders(call.headers())
                .setBody(call.body())
                .execute(new TimelyWriteHandler(call.path(), timeSource))
                .toCompletableFuture()
                .thenApply(response -> response.getStatusCode());
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException failure) {
            LOGGER.warn("closing the HTTP client for the platform failed", failure);
        }
    }

    /** Refuses to write a call whose decision is too old, and to read a response without end. */
    private static final class TimelyWriteHandler extends AsyncCompletionHandlerBase {

        private final String path;
        private final TimeSource timeSource;
        private final long decidedMs;
        private long receivedBytes;

        TimelyWriteHandler(String path, TimeSource timeSource) {
            this.path = path;
            this.timeSource = timeSource;
            decidedMs = timeSource.monotonicMs();
        }

        @Override
        public State onStatusReceived(HttpResponseStatus status) throws Exception {
            if (status.getStatusCode() < MIN_FINAL_STATUS) {
                throw new IOException(
                        "the platform answered "
                                + path
                                + " with the interim status "
                                + status.getStatusCode());
            }
            return super.onStatusReceived(status);
        }

        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) throws Exception {
            receivedBytes += part.length();
            if (receivedBytes > MAX_RESPONSE_BYTES) {
                throw new IOException(
                        "the response of the platform to "
                                + path
                                + " is longer than the maximum of "
                                + MAX_RESPONSE_BYTES
                                + " bytes");
            }
            return super.onBodyPartReceived(part);
        }

        @Override
        public void onRequestSend(NettyRequest request) {
            long delayMs = timeSource.monotonicMs() - decidedMs;
            if (delayMs > MAX_WRITE_DELAY_MS) {
                LOGGER.atWarn()
                        .addKeyValue("path", path)
                        .addKeyValue("delayMs", delayMs)
                        .addKeyValue("maxDelayMs", MAX_WRITE_DELAY_MS)
                        .log("call to the platform not written: its decision is too old");
                throw new IllegalStateException(
                        "the decision on the call is " + delayMs + " ms old: decide anew");
            }
        }
    }
}
