package org.cardamomthread.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;
import org.testng.annotations.Test;

/** Tests the eviction rules of {@link SendQueue} and the delays of {@link Backoff}. */
public class SendQueueTests {

    private static final PeerTopic TOPIC = new PeerTopic(1, "test");

    @Test
    public void dropsTheOldestMessageWhenFull() {
        SendQueue queue = new SendQueue(2, 100);
        QueuedMessage first = message(10);
        queue.offer(first);
        queue.offer(message(10));
        assertEquals(queue.offer(message(10)), List.of(first));
        assertEquals(queue.size(), 2);
    }

    @Test
    public void limitsTheTotalSizeOfPayloads() {
        SendQueue queue = new SendQueue(10, 100);
        queue.offer(message(60));
        assertEquals(queue.offer(message(60)).size(), 1);
        queue.poll();
        assertEquals(queue.offer(message(100)).size(), 0);
    }

    @Test
    public void keepsRequestsAndDropsTheNewMessage() {
        SendQueue queue = new SendQueue(1, 100);
        PendingRequest pending =
                new PendingRequest(new NodeId("b"), TOPIC, 10, new CompletableFuture<>());
        QueuedMessage request = new QueuedMessage(TOPIC, new byte[1], 0, pending);
        queue.offer(request);
        QueuedMessage added = message(1);
        assertEquals(queue.offer(added), List.of(added));
        assertSame(queue.poll(), request);
    }

    @Test
    public void doublesTheBackoffDelayUpToTheMaximum() {
        Backoff backoff = new Backoff(50, 2_000, new SplittableRandom(1));
        for (long bound : new long[] {50, 100, 200, 400, 800, 1_600, 2_000, 2_000}) {
            long delay = backoff.nextDelayMs();
            assertEquals(delay >= bound / 2 && delay <= bound, true, delay + " of " + bound);
        }
        backoff.reset();
        assertEquals(backoff.nextDelayMs() <= 50, true);
    }

    private static QueuedMessage message(int bytes) {
        return new QueuedMessage(TOPIC, new byte[bytes], 0, null);
    }
}
