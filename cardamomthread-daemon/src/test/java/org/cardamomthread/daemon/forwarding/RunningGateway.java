package org.cardamomthread.daemon.forwarding;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.time.SystemTimeSource;
import org.cardamomthread.daemon.dispatch.AsyncEndpointClient;
import org.cardamomthread.daemon.http.HttpLimits;
import org.cardamomthread.daemon.http.HttpServer;
import org.cardamomthread.daemon.testing.RawClient;
import org.cardamomthread.daemon.view.GatewayView;

/**
 * A gateway that listens on loopback and sends requests to real endpoints. Its retry budgets are
 * measured by a clock that stands still until it is advanced.
 */
final class RunningGateway implements AutoCloseable {

    static final int MAX_HEADER_BYTES = 4_096;

    private static final HttpLimits LIMITS =
            new HttpLimits(MAX_HEADER_BYTES, 4_096, 5_000, 60_000, 2_000);
    private static final long RETRY_WINDOW_MS = 10_000;

    private final EventLoopGroup eventLoops;
    private final AsyncEndpointClient client;
    private final ForwarderFixture fixture;
    private final HttpServer server;

    @SuppressWarnings("deprecation")
    RunningGateway() throws Exception {
        eventLoops = new NioEventLoopGroup(1);
        client = new AsyncEndpointClient(eventLoops, new SystemTimeSource());
        fixture = new ForwarderFixture((EventLoop) eventLoops.next(), client);
        server = new HttpServer("callers", eventLoops, LIMITS, fixture.forwarder().getHandler());
        server.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    void applyView(GatewayView view) throws Exception {
        eventLoops.next().submit(() -> fixture.forwarder().applyView(view)).get();
    }

    /** Begins a new window of the retry budget, in which the view is current. */
    void refillRetryBudget() throws Exception {
        eventLoops
                .next()
                .submit(
                        () -> {
                            fixture.time().advanceMs(RETRY_WINDOW_MS);
                            fixture.renewLease();
                        })
                .get();
    }

    /** Sends bytes on a connection of their own and returns what is received until it is closed. */
    String send(String request) throws IOException {
        return RawClient.send(server.getAddress().getPort(), request);
    }

    @Override
    public void close() {
        server.close();
        client.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
