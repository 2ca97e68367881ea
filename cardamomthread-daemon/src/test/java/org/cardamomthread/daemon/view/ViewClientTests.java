package org.cardamomthread.daemon.view;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.testing.TestPlatformDialect;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.cardamomthread.transport.PeerHandler;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.cardamomthread.transport.PeerUnreachableException;
import org.cardamomthread.transport.TransportStatus;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which control nodes a gateway asks for the view, and that it never stops to ask. */
public class ViewClientTests {

    private static final NodeId LEADER = new NodeId("10.0.0.1");
    private static final NodeId REMOVED = new NodeId("10.0.0.2");
    private static final NodeId ADDED = new NodeId("10.0.0.3");
    private static final long TIMEOUT_S = 10;

    private ScheduledExecutorService executor;
    private final List<NodeId> askedNodes = new CopyOnWriteArrayList<>();
    private volatile CompletableFuture<byte[]> nextResponse;
    private ManualTimeSource timeSource;

    @BeforeMethod
    public void start() {
        executor = Executors.newSingleThreadScheduledExecutor();
        askedNodes.clear();
        timeSource = new ManualTimeSource();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        executor.shutdownNow();
    }

    /** Records the asked nodes, and gives one response to all of them. */
    private final class RecordingTransport implements PeerTransport {
        @Override
        public void register(PeerTopic topic, PeerHandler handler) {}

        @Override
        public void setAddress(NodeId node, InetSocketAddress address) {}

        @Override
        public void send(NodeId to, PeerTopic topic, byte[] payload) {}

        @Override
        public CompletableFuture<byte[]> request(
                NodeId to, PeerTopic topic, byte[] payload, Duration timeout) {
            askedNodes.add(to);
            return nextResponse;
        }

        @Override
        public TransportStatus status() {
            throw new UnsupportedOperationException("no links");
        }

        @Override
        public void close() {}
    }

    private ViewClient createClient(Runnable onReport) {
        return new ViewClient(
                new RecordingTransport(),
                node -> {},
                List.of(LEADER, REMOVED),
                new ViewUpdater(new TestPlatformDialect(), timeSource),
                new ViewLease(timeSource, 1_000),
                executor,
                timeSource,
                new SplittableRandom(1),
                request -> onReport.run(),
                view -> {});
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {new IllegalStateException("failure")}, {new OutOfMemoryError("simulated")}
        };
    }

    /** Guards against a gateway that never gets a view again after one error. */
    @Test(dataProvider = "failures")
    public void asksAgainAfterAFailure(Throwable failure) throws Exception {
        CountDownLatch reports = new CountDownLatch(3);
        nextResponse = new CompletableFuture<>();
        createClient(
                        () -> {
                            reports.countDown();
                            if (failure instanceof Error error) {
                                throw error;
                            }
                            throw (RuntimeException) failure;
                        })
                .start();
        assertTrue(reports.await(TIMEOUT_S, TimeUnit.SECONDS), "missing " + reports.getCount());
    }

    /** Guards against timeouts at control nodes that were replaced long ago. */
    @Test
    public void forgetsControlNodesThatTheLeaderDoesNotKnow() throws Exception {
        nextResponse =
                CompletableFuture.completedFuture(
                        ViewResponse.newBuilder()
                                .addControlNodes(LEADER.value())
                                .addControlNodes(ADDED.value())
                                .build()
                                .toByteArray());
        createClient(() -> {}).start();
        awaitRequests(1);
        nextResponse =
                CompletableFuture.failedFuture(new PeerUnreachableException("simulated failure"));
        int firstFailure = askedNodes.size();
        awaitRequests(firstFailure + 8);
        List<NodeId> asked = new ArrayList<>(askedNodes.subList(firstFailure, askedNodes.size()));
        assertTrue(asked.contains(ADDED), asked.toString());
        assertEquals(asked.stream().filter(REMOVED::equals).count(), 0, asked.toString());
    }

    /** Guards against a gateway that never finds the leader because its seeds do not vote. */
    @Test
    public void asksTheNodesThatARefusalNames() throws Exception {
        nextResponse =
                CompletableFuture.completedFuture(
                        ViewResponse.newBuilder()
                                .setRefusal("this node does not lead")
                                .addControlNodes(ADDED.value())
                                .build()
                                .toByteArray());
        createClient(() -> {}).start();
        awaitRequests(4);
        assertTrue(askedNodes.contains(ADDED), askedNodes.toString());
    }

    /** Guards against a gateway whose known nodes have all been replaced while it was cut off. */
    @Test
    public void asksTheSeedsAgainWhenNoKnownNodeLeads() throws Exception {
        nextResponse =
                CompletableFuture.completedFuture(
                        ViewResponse.newBuilder()
                                .addControlNodes(ADDED.value())
                                .build()
                                .toByteArray());
        createClient(() -> {}).start();
        awaitRequests(1);
        nextResponse =
                CompletableFuture.failedFuture(new PeerUnreachableException("simulated failure"));
        int firstFailure = askedNodes.size();
        timeSource.advanceMs(ViewClient.SEED_RETURN_PERIOD.toMillis());
        awaitRequests(firstFailure + 8);
        List<NodeId> asked = askedNodes.subList(firstFailure + 1, askedNodes.size());
        assertTrue(asked.containsAll(List.of(ADDED, LEADER, REMOVED)), asked.toString());
    }

    private void awaitRequests(int count) throws InterruptedException {
        long endMs = System.currentTimeMillis() + TimeUnit.SECONDS.toMillis(TIMEOUT_S);
        while (askedNodes.size() < count) {
            assertTrue(System.currentTimeMillis() < endMs, askedNodes.toString());
            Thread.sleep(5);
        }
    }
}
