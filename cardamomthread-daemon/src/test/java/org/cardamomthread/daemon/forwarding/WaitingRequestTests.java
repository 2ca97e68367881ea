package org.cardamomthread.daemon.forwarding;

import static org.cardamomthread.daemon.forwarding.ForwarderFixture.respondWith;
import static org.cardamomthread.daemon.forwarding.ForwarderFixture.signed;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.daemon.concurrent.AfterPendingReads;
import org.cardamomthread.daemon.http.HttpLimits;
import org.cardamomthread.daemon.http.HttpServer;
import org.cardamomthread.daemon.testing.RecordedExchange;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a gateway does with requests that waited while it stood still. */
public class WaitingRequestTests {

    private static final HttpLimits LIMITS = new HttpLimits(4_096, 4_096, 5_000, 60_000, 200);
    private static final int CLIENTS = 40;
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final String REQUEST =
            "POST /a/x HTTP/1.1\r\nhost: ice.example\r\nx-request-id: r1\r\n"
                    + "authorization: Bearer key\r\ncontent-length: 4\r\n\r\nbody";

    private EventLoopGroup eventLoops;
    private HttpServer server;
    private ForwarderFixture fixture;

    @BeforeMethod
    public void start() throws Exception {
        eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        EventLoop loop = (EventLoop) eventLoops.next();
        fixture = new ForwarderFixture(loop, new AfterPendingReads(loop));
        server = new HttpServer("callers", eventLoops, LIMITS, fixture.forwarder().getHandler());
        server.listen(new InetSocketAddress("127.0.0.1", 0));
        runOnLoop(
                () ->
                        fixture.forwarder()
                                .applyView(ForwarderFixture.view(RequestKind.REPEATABLE, 1)));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        server.close();
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @DataProvider
    public Object[][] connections() {
        return new Object[][] {{"accepted before the pause", true}, {"during the pause", false}};
    }

    @Test(dataProvider = "connections")
    public void sendsNoRequestWhoseClientLeftDuringPause(String name, boolean isAcceptedBefore)
            throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            fixture.client().addScript(respondWith(200, signed(), "body"));
        }
        List<Socket> sockets = new ArrayList<>();
        if (isAcceptedBefore) {
            sockets.addAll(connect());
        }
        CountDownLatch pauseEnd = pause();
        if (!isAcceptedBefore) {
            sockets.addAll(connect());
        }
        for (Socket socket : sockets) {
            socket.getOutputStream().write(bytes());
            socket.close();
        }
        pauseEnd.countDown();
        assertEquals(call(), "HTTP/1.1 200 OK", name);
        assertEquals(fixture.client().getAttemptCount(), 1, name);
    }

    @Test
    public void sendsRequestWhoseClientWaitedForEndOfPause() throws Exception {
        fixture.client().addScript(respondWith(200, signed(), "body"));
        CountDownLatch pauseEnd = pause();
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes());
            pauseEnd.countDown();
            assertEquals(readStatusLine(socket), "HTTP/1.1 200 OK");
        }
    }

    /** The time limit of a request includes the time in which it waits to be admitted. */
    @Test
    public void countsWaitingTimeTowardsTimeLimit() {
        Queue<Runnable> waiting = new ArrayDeque<>();
        ForwarderFixture waitingFixture =
                new ForwarderFixture((EventLoop) eventLoops.next(), waiting::add);
        waitingFixture.client().addScript(listener -> {});
        RecordedExchange exchange = waitingFixture.send(RequestKind.REPEATABLE, 1);
        waitingFixture.time().advanceMs(700);
        waiting.remove().run();
        assertEquals(exchange.getStatus(), 0);
        assertEquals(
                waitingFixture.client().getRequest(0).firstByteTimeoutMs(),
                ForwarderFixture.ROUTE_TIMEOUT_MS - 700);
    }

    private CountDownLatch pause() throws InterruptedException {
        CountDownLatch pauseStart = new CountDownLatch(1);
        CountDownLatch pauseEnd = new CountDownLatch(1);
        eventLoops
                .next()
                .execute(
                        () -> {
                            pauseStart.countDown();
                            awaitUninterruptibly(pauseEnd);
                        });
        pauseStart.await();
        return pauseEnd;
    }

    private List<Socket> connect() throws Exception {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            sockets.add(open());
        }
        return sockets;
    }

    private Socket open() throws IOException {
        Socket socket = new Socket("127.0.0.1", server.getAddress().getPort());
        socket.setSoTimeout(READ_TIMEOUT_MS);
        return socket;
    }

    private String call() throws IOException {
        try (Socket socket = open()) {
            socket.getOutputStream().write(bytes());
            return readStatusLine(socket);
        }
    }

    private static String readStatusLine(Socket socket) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = socket.getInputStream().read();
        while (next >= 0 && next != '\r') {
            line.append((char) next);
            next = socket.getInputStream().read();
        }
        return line.toString();
    }

    private void runOnLoop(Runnable task) throws Exception {
        eventLoops.next().submit(task).get();
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            assertTrue(latch.await(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] bytes() {
        return REQUEST.getBytes(StandardCharsets.US_ASCII);
    }
}
