package org.cardamomthread.transport;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.transport.generated.Failure;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a request gets the response to itself or none, whatever the other node sends. */
public class ResponseAssignmentTests {

    private static final byte[] KEY = "0123456789abcdef".getBytes(UTF_8);
    private static final NodeId A = new NodeId("node-a");
    private static final NodeId B = new NodeId("node-b");
    private static final PeerTopic TOPIC = new PeerTopic(1, "topic");
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long WAIT_MS = 10_000;
    private static final long RETRY_INTERVAL_MS = 100;

    private final List<AutoCloseable> opened = new ArrayList<>();
    private ManualTimeSource time;
    private ScriptedPeer peer;
    private NettyPeerTransport a;

    /** The moments at which a second response is sent. */
    private enum Moment {
        WITH_THE_FIRST,
        BEFORE_THE_NEXT_REQUEST,
        BEFORE_THE_NEXT_RESPONSE,
        WITH_THE_NEXT_RESPONSE
    }

    @BeforeMethod
    public void start() throws Exception {
        time = new ManualTimeSource();
        peer = new ScriptedPeer(B, KEY);
        opened.add(peer);
        a = open(A, 1);
        a.setAddress(B, peer.address());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (AutoCloseable closeable : opened) {
            closeable.close();
        }
        opened.clear();
    }

    @DataProvider
    public Object[][] secondResponses() {
        List<Object[]> rows = new ArrayList<>();
        for (Moment moment : Moment.values()) {
            rows.add(new Object[] {moment, true});
            rows.add(new Object[] {moment, false});
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "secondResponses")
    public void ignoresASecondResponse(Moment moment, boolean isFirstAFailure) throws Exception {
        CompletableFuture<byte[]> first = request();
        peer.establish(1);
        long firstId = peer.readRequest().getId();
        byte[] firstResponse =
                isFirstAFailure
                        ? peer.seal(
                                Frames.failure(firstId, Failure.Kind.HANDLER_FAILED, "first fails"))
                        : response(firstId, "first");
        if (moment == Moment.WITH_THE_FIRST) {
            peer.write(firstResponse, response(firstId, "second"));
        } else {
            peer.write(firstResponse);
        }
        if (isFirstAFailure) {
            assertUnknown(first, "first fails");
        } else {
            assertEquals(text(first), "first");
        }
        if (moment == Moment.BEFORE_THE_NEXT_REQUEST) {
            peer.write(response(firstId, "second"));
        }
        CompletableFuture<byte[]> next = request();
        long nextId = peer.readRequest().getId();
        if (moment == Moment.BEFORE_THE_NEXT_RESPONSE) {
            peer.write(response(firstId, "second"));
        }
        if (moment == Moment.WITH_THE_NEXT_RESPONSE) {
            peer.write(response(firstId, "second"), response(nextId, "next"));
        } else {
            peer.write(response(nextId, "next"));
        }
        assertEquals(text(next), "next");
    }

    @Test
    public void assignsResponsesOfOnePacketInAnyOrder() throws Exception {
        CompletableFuture<byte[]> first = request();
        CompletableFuture<byte[]> second = request();
        peer.establish(1);
        long firstId = peer.readRequest().getId();
        long secondId = peer.readRequest().getId();
        peer.write(response(secondId, "two"), response(firstId, "one"));
        assertEquals(text(first), "one");
        assertEquals(text(second), "two");
    }

    @Test
    public void ignoresAResponseAfterTheTimeout() throws Exception {
        CompletableFuture<byte[]> first = request(Duration.ofMillis(100));
        peer.establish(1);
        long firstId = peer.readRequest().getId();
        time.advanceMs(100);
        assertUnknown(first, "within its timeout");
        CompletableFuture<byte[]> next = request();
        long nextId = peer.readRequest().getId();
        peer.write(response(firstId, "late"), response(nextId, "next"));
        assertEquals(text(next), "next");
    }

    @DataProvider
    public Object[][] earlyResponses() {
        return new Object[][] {{true}, {false}};
    }

    @Test(dataProvider = "earlyResponses")
    public void ignoresAResponseThatPrecedesItsRequest(boolean isBeforeTheLinkIsEstablished)
            throws Exception {
        CompletableFuture<byte[]> first = request();
        peer.accept(1);
        if (isBeforeTheLinkIsEstablished) {
            peer.write(response(1, "early"), response(2, "early"), peer.seal(Frames.ACCEPTED));
        } else {
            peer.write(peer.seal(Frames.ACCEPTED), response(2, "early"));
        }
        assertEquals(peer.readRequest().getId(), 1);
        peer.write(response(1, "first"));
        assertEquals(text(first), "first");
        CompletableFuture<byte[]> next = request();
        assertEquals(peer.readRequest().getId(), 2);
        peer.write(response(2, "next"));
        assertEquals(text(next), "next");
    }

    @DataProvider
    public Object[][] incarnations() {
        return new Object[][] {{1L}, {2L}};
    }

    @Test(dataProvider = "incarnations")
    public void ignoresAResponseToARequestOfAnEarlierConnection(long incarnation) throws Exception {
        CompletableFuture<byte[]> lost = request();
        peer.establish(1);
        long lostId = peer.readRequest().getId();
        peer.disconnect();
        assertUnknown(lost, "closed");
        CompletableFuture<byte[]> next = requestAfterReconnection(incarnation);
        long nextId = peer.readRequest().getId();
        assertFalse(nextId == lostId);
        peer.write(response(lostId, "of the earlier connection"), response(nextId, "next"));
        assertEquals(text(next), "next");
    }

    @Test
    public void closesTheConnectionOnAResponseThatBreaksOffAndGoesOnWithAnother() throws Exception {
        int frameBytes = 0;
        for (int cut = 0; cut == 0 || cut < frameBytes; cut++) {
            CompletableFuture<byte[]> first = cut == 0 ? request() : requestAfterReconnection(1);
            if (cut == 0) {
                peer.establish(1);
            }
            long firstId = peer.readRequest().getId();
            CompletableFuture<byte[]> second = request();
            long secondId = peer.readRequest().getId();
            byte[] broken = response(firstId, "first");
            frameBytes = broken.length;
            byte[] whole = response(secondId, "other");
            peer.write(Arrays.copyOf(broken, cut), whole, new byte[frameBytes]);
            assertTrue(peer.isClosedByPeer(), "cut after " + cut + " bytes");
            assertUnknown(first, "");
            assertUnknown(second, "");
        }
    }

    @Test
    public void keepsResponsesForAnEarlierIncarnationFromTheLaterOne() throws Exception {
        BlockingQueue<CompletableFuture<byte[]>> held = new LinkedBlockingQueue<>();
        NodeId server = new NodeId("node-c");
        NettyPeerTransport c = open(server, 1);
        c.register(TOPIC, (from, payload) -> hold(held));
        a.setAddress(server, c.localAddress());
        CompletableFuture<byte[]> earlier = a.request(server, TOPIC, new byte[0], TIMEOUT);
        CompletableFuture<byte[]> earlierHeld = held.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        NettyPeerTransport restarted = open(A, 2);
        restarted.setAddress(server, c.localAddress());
        CompletableFuture<byte[]> later = restarted.request(server, TOPIC, new byte[0], TIMEOUT);
        CompletableFuture<byte[]> laterHeld = held.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        earlierHeld.complete("to the earlier incarnation".getBytes(UTF_8));
        assertUnknown(earlier, "closed");
        laterHeld.complete("to the later incarnation".getBytes(UTF_8));
        assertEquals(text(later), "to the later incarnation");
    }

    private static CompletableFuture<byte[]> hold(BlockingQueue<CompletableFuture<byte[]>> held) {
        CompletableFuture<byte[]> response = new CompletableFuture<>();
        held.add(response);
        return response;
    }

    private NettyPeerTransport open(NodeId node, long incarnation) throws TransportStartException {
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        NettyPeerTransport transport = new NettyPeerTransport(node, incarnation, any, KEY, time);
        opened.add(transport);
        transport.start();
        return transport;
    }

    private CompletableFuture<byte[]> request() {
        return request(TIMEOUT);
    }

    private CompletableFuture<byte[]> request(Duration timeout) {
        return a.request(B, TOPIC, new byte[0], timeout);
    }

    /** Requests again until the link is no longer backing off, and accepts its connection. */
    private CompletableFuture<byte[]> requestAfterReconnection(long incarnation) throws Exception {
        CompletableFuture<byte[]> request = request();
        while (a.status().links().get(0).state() != LinkState.CONNECTING) {
            time.advanceMs(RETRY_INTERVAL_MS);
            TimeUnit.MILLISECONDS.sleep(1);
            if (request.isDone()) {
                request = request();
            }
        }
        peer.establish(incarnation);
        return request;
    }

    private byte[] response(long id, String payload) {
        return peer.seal(Frames.response(id, payload.getBytes(UTF_8)));
    }

    private static String text(CompletableFuture<byte[]> response) throws Exception {
        return new String(response.get(WAIT_MS, TimeUnit.MILLISECONDS), UTF_8);
    }

    private static void assertUnknown(CompletableFuture<byte[]> response, String reason) {
        ExecutionException failure =
                expectThrows(
                        ExecutionException.class,
                        () -> response.get(WAIT_MS, TimeUnit.MILLISECONDS));
        assertEquals(
                failure.getCause().getClass(),
                PeerOutcomeUnknownException.class,
                failure.getMessage());
        assertTrue(failure.getMessage().contains(reason), failure.getMessage());
    }
}
