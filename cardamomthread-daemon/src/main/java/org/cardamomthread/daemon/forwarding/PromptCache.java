package org.cardamomthread.daemon.forwarding;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.daemon.dialect.PromptPart;

/**
 * Remembers which prompt parts an endpoint was sent, as an estimate of what its cache holds.
 *
 * <p>Invariant: at most {@value #MAX_PARTS} parts, those used last. Used by one thread at a time.
 */
final class PromptCache {

    /** Bounds the memory to about 25 KB an endpoint. */
    private static final int MAX_PARTS = 256;

    /** Time after which other prompts have probably taken a part's place, in milliseconds. */
    private static final long VALID_MS = 20_000;

    private final Map<String, Long> lastUseMs =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_PARTS;
                }
            };

    void use(List<PromptPart> prompt, long nowMs) {
        for (PromptPart part : prompt) {
            lastUseMs.put(part.id(), nowMs);
        }
    }

    /** Counts the leading tokens of a prompt that are probably held. */
    int countHeld(List<PromptPart> prompt, long nowMs) {
        int tokens = 0;
        for (PromptPart part : prompt) {
            Long usedMs = lastUseMs.get(part.id());
            if (usedMs == null || nowMs - usedMs > VALID_MS) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }
}
