package org.cardamomthread.daemon.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the prompt blocks under which this node has seen answers.
 *
 * <p>Invariant: holds at most {@value #MAX_BLOCKS} blocks; of those that were not used for longest,
 * the last of a prompt are dropped first. Not thread-safe.
 */
final class AnsweredBlocks {

    static final int MAX_BLOCKS = 65_536;

    private final Map<Long, Boolean> blocks =
            new LinkedHashMap<>(64, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
                    return size() > MAX_BLOCKS;
                }
            };

    void record(PromptBlocks prompt) {
        for (int i = prompt.size() - 1; i >= 0; i--) {
            blocks.put(prompt.fingerprint(i), true);
        }
    }

    /** Returns the number of leading blocks of a prompt under which an answer has been seen. */
    int count(PromptBlocks prompt) {
        int count = prompt.size();
        while (count > 0 && !blocks.containsKey(prompt.fingerprint(count - 1))) {
            count--;
        }
        return count;
    }
}
