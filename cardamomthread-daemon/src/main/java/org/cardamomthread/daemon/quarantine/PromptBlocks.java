package org.cardamomthread.daemon.quarantine;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.daemon.gateway.GuardedPrompt;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Lists the leading blocks of a prompt that other prompts may share: at most {@value #MAX_BLOCKS},
 * without the last one. Each block is identified by a hash that covers all blocks before it.
 *
 * <p>Immutable and thread-safe.
 */
final class PromptBlocks {

    /** Maximum number of blocks that are looked at. */
    static final int MAX_BLOCKS = 1_024;

    private final ServiceId service;
    private final long serviceHash;
    private final long[] hashes;

    private PromptBlocks(ServiceId service, long[] hashes) {
        this.service = service;
        this.serviceHash = Hashing.xxh3_64().hashCharsToLong(service.value());
        this.hashes = hashes;
    }

    static PromptBlocks of(GuardedPrompt prompt) {
        PromptPrefix prefix = prompt.prefix();
        long[] hashes = new long[Math.max(0, Math.min(MAX_BLOCKS, prefix.blockCount() - 1))];
        for (int i = 0; i < hashes.length; i++) {
            hashes[i] = prefix.blockHash(i);
        }
        return new PromptBlocks(prompt.service(), hashes);
    }

    static PromptBlocks ofHashes(ServiceId service, List<Long> hashes) {
        return new PromptBlocks(
                service, hashes.stream().limit(MAX_BLOCKS).mapToLong(Long::longValue).toArray());
    }

    ServiceId service() {
        return service;
    }

    int size() {
        return hashes.length;
    }

    long hash(int index) {
        return hashes[index];
    }

    /** Returns a number that identifies a block among those of all services. */
    long fingerprint(int index) {
        return hashes[index] ^ serviceHash;
    }

    PromptPartKey key(int index) {
        return PromptPartKey.of(service, Long.toHexString(hashes[index]));
    }

    /** Returns the keys of a range of blocks. */
    List<PromptPartKey> keys(int from, int to) {
        List<PromptPartKey> keys = new ArrayList<>();
        for (int i = from; i < Math.min(to, hashes.length); i++) {
            keys.add(key(i));
        }
        return keys;
    }
}
