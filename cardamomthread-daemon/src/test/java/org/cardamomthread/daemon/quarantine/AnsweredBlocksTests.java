package org.cardamomthread.daemon.quarantine;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.cardamomthread.core.id.ServiceId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link AnsweredBlocks}. */
public class AnsweredBlocksTests {

    private static final ServiceId CHAT = new ServiceId("chat");

    private final AnsweredBlocks answered = new AnsweredBlocks();

    @DataProvider
    public Object[][] prompts() {
        return new Object[][] {
            {CHAT, List.of(1L, 2L, 3L), 3},
            {CHAT, List.of(1L, 2L, 4L), 2},
            {CHAT, List.of(1L), 1},
            {CHAT, List.of(5L, 6L), 0},
            {CHAT, List.of(), 0},
            {new ServiceId("code"), List.of(1L, 2L, 3L), 0},
        };
    }

    @Test(dataProvider = "prompts")
    public void countsLeadingBlocksThatWereAnswered(
            ServiceId service, List<Long> blocks, int expected) {
        answered.record(PromptBlocks.ofHashes(CHAT, List.of(1L, 2L, 3L)));
        assertEquals(answered.count(PromptBlocks.ofHashes(service, blocks)), expected);
    }

    @Test
    public void keepsSharedBlocksWhenFull() {
        for (long request = 0; request < AnsweredBlocks.MAX_BLOCKS; request++) {
            List<Long> blocks = new ArrayList<>(List.of(1L, 2L));
            LongStream.range(0, 3).map(i -> 100 + i).forEach(blocks::add);
            blocks.add(1_000_000 + request);
            answered.record(PromptBlocks.ofHashes(CHAT, blocks));
        }
        List<Long> latest = List.of(1L, 2L, 100L, 101L, 102L, 1_000_000L);
        assertEquals(answered.count(PromptBlocks.ofHashes(CHAT, latest)), 5);
    }
}
