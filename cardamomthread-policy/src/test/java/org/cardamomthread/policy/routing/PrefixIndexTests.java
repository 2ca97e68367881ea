package org.cardamomthread.policy.routing;

import static org.cardamomthread.policy.routing.RoutingFixtures.id;
import static org.cardamomthread.policy.routing.RoutingFixtures.prefix;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.cardamomthread.core.id.EndpointId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link PrefixIndex}. */
public class PrefixIndexTests {

    private static final EndpointId A = id("a");
    private static final EndpointId B = id("b");

    private PrefixIndex index;

    @BeforeMethod
    public void createIndex() {
        index = new PrefixIndex(4_096, 60_000, 600_000);
    }

    private static CacheEvent stored(long sequence, PromptPrefix prefix) {
        return event(sequence, CacheEvent.Type.STORED, prefix);
    }

    private static CacheEvent event(long sequence, CacheEvent.Type type, PromptPrefix prefix) {
        long[] blocks = new long[prefix.blockCount()];
        for (int i = 0; i < blocks.length; i++) {
            blocks[i] = prefix.blockHash(i);
        }
        return new CacheEvent(sequence, type, blocks);
    }

    @Test
    public void countsOnlyContiguousLeadingBlocks() {
        index.apply(A, stored(1, prefix(1, 10)), 0);
        assertEquals(index.estimateCachedTokens(A, prefix(1, 20), 0), 160, 0.1);
        assertEquals(index.estimateCachedTokens(B, prefix(1, 20), 0), 0, 0);
        index.apply(
                A,
                new CacheEvent(2, CacheEvent.Type.EVICTED, new long[] {prefix(1, 10).blockHash(3)}),
                0);
        assertEquals(index.estimateCachedTokens(A, prefix(1, 20), 0), 48, 0.1);
    }

    @Test
    public void halvesConfidenceAfterSequenceGapUntilResync() {
        index.apply(A, stored(1, prefix(1, 10)), 0);
        assertTrue(index.apply(A, stored(5, prefix(2, 10)), 100));
        assertEquals(index.estimateCachedTokens(A, prefix(1, 10), 100), 80, 0.5);
        assertEquals(index.estimateCachedTokens(A, prefix(2, 10), 100), 160, 0.5);
        index.resync(A, 5, new long[] {prefix(1, 1).blockHash(0)}, 200);
        assertEquals(index.estimateCachedTokens(A, prefix(1, 10), 200), 16, 0.1);
        assertFalse(index.apply(A, stored(6, prefix(1, 10)), 200));
    }

    @Test
    public void ignoresDuplicateAndOutOfOrderEvents() {
        index.apply(A, stored(1, prefix(1, 4)), 0);
        index.apply(A, event(2, CacheEvent.Type.CLEARED, PromptPrefix.EMPTY), 0);
        index.apply(A, stored(1, prefix(1, 4)), 0);
        assertEquals(index.estimateCachedTokens(A, prefix(1, 4), 0), 0, 0);
    }

    @DataProvider
    public Object[][] ages() {
        return new Object[][] {{0L, 64.0}, {60_000L, 32.0}, {120_000L, 16.0}, {700_000L, 0.0}};
    }

    @Test(dataProvider = "ages")
    public void reducesConfidenceWithAge(long ageMs, double tokens) {
        index.apply(A, stored(1, prefix(1, 4)), 0);
        assertEquals(index.estimateCachedTokens(A, prefix(1, 4), ageMs), tokens, 0.1);
    }

    @Test
    public void returnsLongestCachedPrefixFirst() {
        index.recordSentPrompt(B, prefix(1, 4), 0);
        index.recordSentPrompt(A, prefix(1, 16), 0);
        assertEquals(index.likelyHolders(prefix(1, 20), 8, 0), List.of(A, B));
    }

    @Test
    public void doesNotAssignBlocksOfRemovedEndpointToReusedSlot() {
        index.recordSentPrompt(A, prefix(1, 4), 0);
        index.remove(A);
        index.recordSentPrompt(B, prefix(2, 4), 0);
        assertEquals(index.estimateCachedTokens(B, prefix(1, 4), 0), 0, 0);
        assertEquals(index.likelyHolders(prefix(1, 4), 8, 0), List.of());
    }

    @Test
    public void keepsNewestBlocksWhenTableIsFull() {
        for (int i = 0; i < 4_000; i++) {
            index.recordSentPrompt(A, prefix(i, 10), i);
        }
        int keptPrefixes = 0;
        for (int i = 3_900; i < 4_000; i++) {
            keptPrefixes += index.estimateCachedTokens(A, prefix(i, 10), 4_000) > 150 ? 1 : 0;
        }
        assertTrue(keptPrefixes > 80, "number of prefixes kept: " + keptPrefixes);
    }

    @Test
    public void infersLeadingBlocksWithMoreHoldersThanRecorded() {
        for (int i = 0; i < 10; i++) {
            index.recordSentPrompt(id("e" + i), prefix(1, 2), i);
            PromptPrefix longer =
                    PromptPrefix.ofHashes(
                            new long[] {
                                prefix(1, 2).blockHash(0), prefix(1, 2).blockHash(1), 77 + i
                            },
                            16);
            index.recordSentPrompt(id("e" + i), longer, i);
        }
        PromptPrefix prefixOfFirstEndpoint =
                PromptPrefix.ofHashes(
                        new long[] {prefix(1, 2).blockHash(0), prefix(1, 2).blockHash(1), 77}, 16);
        assertEquals(index.estimateCachedTokens(id("e0"), prefixOfFirstEndpoint, 10), 48, 0.1);
        assertEquals(index.estimateCachedTokens(id("other"), prefixOfFirstEndpoint, 10), 0, 0.1);
    }

    @Test
    public void lowersRetentionProbabilityAfterEarlyEviction() {
        assertEquals(index.retentionProbability(A, 0), 1, 0);
        index.apply(A, stored(1, prefix(1, 4)), 0);
        index.resync(A, 2, event(0, CacheEvent.Type.STORED, prefix(1, 4)).blocks(), 15_000);
        index.apply(A, event(3, CacheEvent.Type.EVICTED, prefix(1, 4)), 20_000);
        assertEquals(index.retentionProbability(A, 20_000), 0.25, 0.01);
        assertTrue(index.retentionProbability(A, 600_000) > 0.9);
    }

    @Test
    public void neverReportsUnknownBlocksUnderRandomEvents() {
        Random random = new Random(11);
        for (int i = 1; i < 2_000; i++) {
            CacheEvent.Type type = CacheEvent.Type.values()[random.nextInt(3)];
            index.apply(A, event(i, type, prefix(random.nextInt(20), 5)), i);
            assertEquals(index.estimateCachedTokens(A, prefix(50, 5), i), 0, 0);
            assertTrue(index.estimateCachedTokens(A, prefix(3, 5), i) <= 80);
        }
    }

    @Test
    public void blockHashCoversPrecedingBlocks() {
        PromptPrefix prefix1 = PromptPrefix.ofText("aaaabbbbcc", 4, 1);
        PromptPrefix prefix2 = PromptPrefix.ofText("xaaabbbbcc", 4, 1);
        assertEquals(prefix1.blockCount(), 2);
        assertNotEquals(prefix1.blockHash(1), prefix2.blockHash(1));
    }
}
