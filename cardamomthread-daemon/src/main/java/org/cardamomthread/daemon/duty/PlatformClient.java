package org.cardamomthread.daemon.duty;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.cardamomthread.daemon.dialect.PlatformCall;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends calls to the platform, each once.
 *
 * <p>Invariant: a call that was given up reaches the platform no more. Its connection is reset,
 * since after an orderly close the host would go on sending what a cut link has held up, and the
 * platform would get an order of a former holder after those of the next one. Safe for use by
 * several threads.
 */
public final class PlatformClient implements AutoCloseable {

    /**
     * The platform may be slow; a call that is later than this is given up. Shorter than the time
     * for which the next holder of a duty waits.
     */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

    /** Makes a close reset the connection and drop what was not sent. */
    private static final int RESET_ON_CLOSE_LINGER_S = 0;

    private static final Logger LOGGER = LoggerFactory.getLogger(PlatformClient.class);

    private final AsyncHttpClient client;
    private final String baseUrl;

    /**
     * Creates a caller.
     *
     * @param address the platform's interface as {@code ip:port}
     * @param eventLoops run its connections; not closed with the caller
     */
    public PlatformClient(String address, EventLoopGroup eventLoops) {
        baseUrl = "http://" + address;
        client =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setEventLoopGroup(eventLoops)
                                .setConnectTimeout(REQUEST_TIMEOUT)
                                .setRequestTimeout(REQUEST_TIMEOUT)
                                .setSoLinger(RESET_ON_CLOSE_LINGER_S)
                                .setMaxRequestRetry(0));
    }

    /**
     * Sends a call.
     *
     * @param call the call
     * @return completes with the status code, or fails if no answer came
     */
    public CompletableFuture<Integer> send(PlatformCall call) {
        return client.preparePost(baseUrl + call.path())
                .setHeaders(call.headers())
                .setBody(call.body())
                .execute()
                .toCompletableFuture()
                .thenApply(response -> response.getStatusCode());
    }

    @Override
    public void close() {
        try {
            client.close();
        } catch (IOException failure) {
            LOGGER.warn("closing the platform's client failed", failure);
        }
    }
}
