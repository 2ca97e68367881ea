package org.cardamomthread.transport;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link NettyPeerTransport} over the loopback interface with a manual clock. */
public class NettyPeerTransportTests {

    private static final byte[] KEY = "0123456789abcdef".getBytes(UTF_8);
    private static final byte[] OTHER_KEY = "fedcba9876543210".getBytes(UTF_8);
    private static final NodeId A = new NodeId("node-a");
    private static final NodeId B = new NodeId("node-b");
    private static final PeerTopic ECHO = new PeerTopic(1, "echo");
    private static final PeerTopic NEVER = new PeerTopic(2, "never");
    private static final PeerTopic THROWING = new PeerTopic(3, "throwing");
    private static final PeerTopic UNKNOWN = new PeerTopic(4, "unknown");
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long WAIT_MS = 10_000;

    private final List<AutoCloseable> opened = new ArrayList<>();
    private final AtomicInteger handledCount = new AtomicInteger();
    private ManualTimeSource time;
    private NettyPeerTransport a;
    private NettyPeerTransport b;
    private FaultInjectingProxy proxy;

    @BeforeMethod
    public void start() throws Exception {
        time = new ManualTimeSource();
        handledCount.set(0);
        a = open(A, 1, KEY);
        b = open(B, 1, KEY);
        proxy = new FaultInjectingProxy(b.localAddress().getPort());
        opened.add(proxy);
        a.setAddress(B, proxy.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (AutoCloseable closeable : opened) {
            closeable.close();
        }
        opened.clear();
    }

    @DataProvider
    public Object[][] sizes() {
        int longest = TransportSettings.defaults().maxPayloadBytes();
        return new Object[][] {{0}, {1}, {100_000}, {longest}};
    }

    @Test(dataProvider = "sizes")
    public void respondsToRequests(int size) throws Exception {
        assertEquals(a.request(B, ECHO, new byte[size], TIMEOUT).get().length, size);
        assertEquals(a.request(A, ECHO, new byte[size], TIMEOUT).get().length, size);
        assertEquals(handledCount.get(), 2);
    }

    @Test
    public void deliversOneWayMessagesInOrder() {
        for (int i = 0; i < 100; i++) {
            a.send(B, ECHO, new byte[i]);
        }
        await(() -> handledCount.get() == 100);
    }

    @Test
    public void reportsLinks() throws Exception {
        a.request(B, ECHO, new byte[0], TIMEOUT).get();
        PeerLinkStatus link = a.status().links().get(0);
        assertEquals(link.state(), LinkState.CONNECTED);
        assertEquals(link.incarnation(), 1);
        assertEquals(b.status().inboundPeers(), List.of(A));
    }

    @Test
    public void failsRequestsOfUnknownTopicAsNotDelivered() {
        assertUnreachable(a.request(B, UNKNOWN, new byte[0], TIMEOUT), "topic 4");
        assertUnreachable(a.request(A, UNKNOWN, new byte[0], TIMEOUT), "topic 4");
    }

    @Test
    public void failsRequestsWhoseHandlerThrowsAsUnknown() {
        assertUnknown(a.request(B, THROWING, new byte[0], TIMEOUT), "broken handler");
        assertUnknown(a.request(A, THROWING, new byte[0], TIMEOUT), "broken handler");
    }

    @Test
    public void failsOversizedPayloadsAtTheSender() {
        byte[] payload = new byte[TransportSettings.defaults().maxPayloadBytes() + 1];
        assertUnreachable(a.request(B, ECHO, payload, TIMEOUT), "split it");
        expectThrows(IllegalArgumentException.class, () -> a.send(B, ECHO, payload));
    }

    @Test
    public void closesTheConnectionOnAnOversizedFrame() throws Exception {
        TransportSettings small =
                new TransportSettings(
                        2_048, 8 << 20, 4_096, 4_096, 2_000, 1_000, 2_000, 3_000, 50, 2_000,
                        60_000);
        NodeId limited = new NodeId("node-c");
        NettyPeerTransport c = open(limited, 1, KEY, small);
        a.setAddress(limited, c.localAddress());
        assertUnknown(a.request(limited, ECHO, new byte[4_096], TIMEOUT), "closed");
        assertEquals(handledCount.get(), 0);
        retryUntilResponse(limited);
    }

    @Test
    public void rejectsAPeerWithAnotherKey() throws Exception {
        NodeId stranger = new NodeId("node-c");
        NettyPeerTransport c = open(stranger, 1, OTHER_KEY);
        a.setAddress(stranger, c.localAddress());
        c.setAddress(A, a.localAddress());
        assertUnreachable(a.request(stranger, ECHO, new byte[0], TIMEOUT), "another peer key");
        assertUnreachable(c.request(A, ECHO, new byte[0], TIMEOUT), "another peer key");
        assertEquals(handledCount.get(), 0);
    }

    @DataProvider
    public Object[][] tamperings() {
        UnaryOperator<byte[]> withFlippedBit =
                bytes -> {
                    bytes[bytes.length - 1] ^= 1;
                    return bytes;
                };
        UnaryOperator<byte[]> replayed =
                bytes -> {
                    byte[] twice = java.util.Arrays.copyOf(bytes, 2 * bytes.length);
                    System.arraycopy(bytes, 0, twice, bytes.length, bytes.length);
                    return twice;
                };
        return new Object[][] {{"withFlippedBit", withFlippedBit, 0}, {"replayed", replayed, 1}};
    }

    @Test(dataProvider = "tamperings")
    public void ignoresTamperedAndReplayedFrames(
            String description, UnaryOperator<byte[]> change, int expected) throws Exception {
        a.request(B, ECHO, new byte[0], TIMEOUT).get();
        handledCount.set(0);
        proxy.transformBytes(change);
        a.send(B, ECHO, new byte[50]);
        await(() -> a.status().links().get(0).state() != LinkState.CONNECTED);
        assertEquals(handledCount.get(), expected);
        proxy.transformBytes(UnaryOperator.identity());
        retryUntilResponse(B);
    }

    @Test
    public void servesPeersAfterReceivingAnInvalidHandshake() throws Exception {
        InetSocketAddress address = b.localAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout((int) WAIT_MS);
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(UTF_8));
            socket.getInputStream().readAllBytes();
        }
        assertEquals(a.request(B, ECHO, new byte[7], TIMEOUT).get().length, 7);
    }

    @Test
    public void closesConnectionsThatNeverCompleteTheHandshake() throws Exception {
        InetSocketAddress address = b.localAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout((int) WAIT_MS);
            a.request(B, ECHO, new byte[0], TIMEOUT).get();
            time.advanceMs(TransportSettings.defaults().handshakeTimeoutMs());
            assertEquals(socket.getInputStream().read(), -1);
        }
    }

    @Test
    public void replacesASilentConnection() throws Exception {
        a.request(B, ECHO, new byte[0], TIMEOUT).get();
        proxy.dropTraffic();
        CompletableFuture<byte[]> lost = a.request(B, ECHO, new byte[0], Duration.ofSeconds(100));
        advanceUntil(lost::isDone, 4_000);
        assertUnknown(lost, "silent");
        retryUntilResponse(B);
    }

    @Test
    public void keepsAConnectionThatRespondsToPings() throws Exception {
        a.request(B, ECHO, new byte[0], TIMEOUT).get();
        CompletableFuture<byte[]> waiting = a.request(B, NEVER, new byte[0], Duration.ofSeconds(8));
        for (int i = 0; i < 9; i++) {
            pauseForPing();
            time.advanceMs(1_000);
        }
        assertUnknown(waiting, "no response arrived within its timeout");
        assertEquals(a.status().links().get(0).state(), LinkState.CONNECTED);
    }

    @Test
    public void failsRequestsThatWereNeverWrittenAsNotDelivered() throws Exception {
        proxy.disconnect();
        assertUnreachable(a.request(B, ECHO, new byte[0], TIMEOUT), "closed");
        assertUnreachable(a.request(new NodeId("nobody"), ECHO, new byte[0], TIMEOUT), "address");
        assertEquals(handledCount.get(), 0);
        proxy.acceptConnections();
        retryUntilResponse(B);
    }

    @Test
    public void failsWrittenRequestsAsUnknownWhenTheConnectionIsLost() throws Exception {
        CompletableFuture<byte[]> waiting = a.request(B, NEVER, new byte[0], TIMEOUT);
        await(() -> handledCount.get() == 1);
        proxy.disconnect();
        assertUnknown(waiting, "closed");
    }

    @Test
    public void reachesAPeerThatRestarted() throws Exception {
        a.request(B, ECHO, new byte[0], TIMEOUT).get();
        b.close();
        NettyPeerTransport restarted = open(B, 2, KEY);
        proxy.setTargetPort(restarted.localAddress().getPort());
        retryUntilResponse(B);
        assertEquals(a.status().links().get(0).incarnation(), 2);
    }

    @Test
    public void followsAnAddressThatChanges() throws Exception {
        a.request(B, ECHO, new byte[0], TIMEOUT).get();
        NettyPeerTransport moved = open(B, 2, KEY);
        a.setAddress(B, moved.localAddress());
        retryUntilResponse(B);
        assertEquals(a.status().links().get(0).incarnation(), 2);
        await(() -> b.status().inboundPeers().isEmpty());
    }

    @Test
    public void rejectsAnEarlierIncarnationWhileALaterOneIsConnected() throws Exception {
        NodeId twice = new NodeId("node-c");
        NettyPeerTransport later = open(twice, 2, KEY);
        NettyPeerTransport earlier = open(twice, 1, KEY);
        later.setAddress(B, b.localAddress());
        earlier.setAddress(B, b.localAddress());
        later.request(B, ECHO, new byte[0], TIMEOUT).get();
        assertUnreachable(earlier.request(B, ECHO, new byte[0], TIMEOUT), "closed");
        assertEquals(later.status().links().get(0).state(), LinkState.CONNECTED);
    }

    @Test
    public void failsOutstandingAndLaterRequestsOnClose() throws Exception {
        CompletableFuture<byte[]> waiting = a.request(B, NEVER, new byte[0], TIMEOUT);
        await(() -> handledCount.get() == 1);
        a.close();
        assertUnknown(waiting, "shutting down");
        assertUnreachable(a.request(B, ECHO, new byte[0], TIMEOUT), "shutting down");
    }

    @Test
    public void closesAnIdleConnection() throws Exception {
        a.request(B, ECHO, new byte[0], TIMEOUT).get();
        advanceUntil(() -> a.status().links().get(0).state() == LinkState.IDLE, 62_000);
        retryUntilResponse(B);
    }

    @Test
    public void reportsAPortInUse() throws Exception {
        NettyPeerTransport second = new NettyPeerTransport(B, 1, b.localAddress(), KEY, time);
        opened.add(second);
        TransportStartException failure =
                expectThrows(TransportStartException.class, second::start);
        assertTrue(failure.getMessage().contains("choose a free port"), failure.getMessage());
    }

    private NettyPeerTransport open(NodeId node, long incarnation, byte[] key)
            throws TransportStartException {
        return open(node, incarnation, key, TransportSettings.defaults());
    }

    private NettyPeerTransport open(
            NodeId node, long incarnation, byte[] key, TransportSettings settings)
            throws TransportStartException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        NettyPeerTransport transport =
                new NettyPeerTransport(
                        node, incarnation, any, key, time, settings, TransportListener.NONE);
        opened.add(transport);
        transport.register(
                ECHO, (from, payload) -> count(CompletableFuture.completedFuture(payload)));
        transport.register(NEVER, (from, payload) -> count(new CompletableFuture<>()));
        transport.register(
                THROWING,
                (from, payload) -> {
                    throw new IllegalStateException("broken handler");
                });
        transport.start();
        return transport;
    }

    private CompletableFuture<byte[]> count(CompletableFuture<byte[]> response) {
        handledCount.incrementAndGet();
        return response;
    }

    private void retryUntilResponse(NodeId node) {
        await(
                () -> {
                    CompletableFuture<byte[]> response =
                            a.request(node, ECHO, new byte[1], TIMEOUT);
                    await(
                            () -> {
                                time.advanceMs(1);
                                return response.isDone();
                            });
                    return !response.isCompletedExceptionally();
                });
    }

    private void advanceUntil(BooleanSupplier condition, long maxMs) {
        for (long elapsedMs = 0; elapsedMs < maxMs && !condition.getAsBoolean(); elapsedMs += 500) {
            pauseForPing();
            time.advanceMs(500);
        }
        await(condition);
    }

    /** Waits until the transports have answered the pings that are due at the current time. */
    private static void pauseForPing() {
        pause(60);
    }

    private static void pause(long pauseMs) {
        try {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void await(BooleanSupplier condition) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < endNs, "condition not met within " + WAIT_MS + " ms");
            pause(1);
        }
    }

    private static void assertUnreachable(CompletableFuture<byte[]> response, String reason) {
        assertFailure(response, PeerUnreachableException.class, reason);
    }

    private static void assertUnknown(CompletableFuture<byte[]> response, String reason) {
        assertFailure(response, PeerOutcomeUnknownException.class, reason);
    }

    private static void assertFailure(
            CompletableFuture<byte[]> response, Class<? extends Exception> kind, String reason) {
        ExecutionException failure =
                expectThrows(
                        ExecutionException.class,
                        () -> response.get(WAIT_MS, TimeUnit.MILLISECONDS));
        assertEquals(failure.getCause().getClass(), kind, failure.getMessage());
        assertTrue(failure.getMessage().contains(reason), failure.getMessage());
    }
}
