package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.TrafficProfile;
import org.cardamomthread.policy.routing.PromptPrefix;

/** Creates the calls of a workload and hashes the blocks of their prompts. */
final class CallFactory {

    static final int TOKENS_PER_BLOCK = 64;

    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int ACCOUNTS = 5;

    private final List<Call> calls = new ArrayList<>();

    /** Adds a call whose prompt is the concatenation of the given parts. */
    void add(
            Call.Pool pool,
            String session,
            long arrivalMs,
            long deadlineMs,
            TrafficProfile profile,
            List<PromptPart> prompt,
            int outputTokens,
            int expectedOutputTokens) {
        int promptTokens = prompt.stream().mapToInt(PromptPart::tokens).sum();
        calls.add(
                new Call(
                        new RequestId("r" + calls.size()),
                        pool,
                        accountOf(session),
                        session,
                        arrivalMs,
                        deadlineMs,
                        profile,
                        promptTokens,
                        outputTokens,
                        expectedOutputTokens,
                        prefix(prompt)));
    }

    List<Call> calls() {
        List<Call> sorted = new ArrayList<>(calls);
        sorted.sort(Comparator.comparingLong(Call::arrivalMs));
        return sorted;
    }

    private static ClientAccountId accountOf(String session) {
        int hash = Math.floorMod(session.hashCode(), 10);
        int number = hash < 5 ? 0 : hash < 8 ? 1 : 2 + hash % (ACCOUNTS - 2);
        return new ClientAccountId("account-" + number);
    }

    private static PromptPrefix prefix(List<PromptPart> prompt) {
        int tokens = prompt.stream().mapToInt(PromptPart::tokens).sum();
        long[] blocks = new long[tokens / TOKENS_PER_BLOCK];
        long hash = 1;
        int part = 0;
        int partEnd = prompt.isEmpty() ? 0 : prompt.get(0).tokens();
        for (int k = 0; k < blocks.length; k++) {
            int end = (k + 1) * TOKENS_PER_BLOCK;
            while (end > partEnd) {
                hash = mix(hash, prompt.get(part).contentId());
                part++;
                partEnd += prompt.get(part).tokens();
            }
            hash = mix(mix(hash, prompt.get(part).contentId()), k);
            blocks[k] = hash;
        }
        return PromptPrefix.ofHashes(blocks, TOKENS_PER_BLOCK);
    }

    private static long mix(long hash, long value) {
        long mixed = (hash ^ value) * HASH_MULTIPLIER;
        return mixed ^ (mixed >>> 31);
    }

    /**
     * A part of a prompt.
     *
     * @param contentId identifier of the text; equal identifiers mean equal text
     * @param tokens length in tokens
     */
    record PromptPart(long contentId, int tokens) {}
}
